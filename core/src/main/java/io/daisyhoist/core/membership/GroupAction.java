package io.daisyhoist.core.membership;

import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.SessionId;
import io.daisyhoist.core.time.ElapsedTimer;

/** Action that the control loop of a daemon must carry out. Implementations are immutable. */
public sealed interface GroupAction {
    /**
     * Send a heartbeat; report the response with {@link GroupController#onHeartbeatAck}, passing the same {@code
     * sentAt}.
     *
     * @param to witness
     * @param peer its address
     * @param session session of this daemon
     * @param sentAt started before the heartbeat is sent
     */
    record SendHeartbeat(ProcessId to, Endpoint peer, SessionId session, ElapsedTimer sentAt) implements GroupAction {}

    /**
     * Ask a witness to fence a session; report the response with {@link GroupController#onFenceReply}.
     *
     * @param to witness
     * @param peer its address
     * @param session session to fence
     */
    record SendFence(ProcessId to, Endpoint peer, SessionId session) implements GroupAction {}

    /**
     * Write the record by compare-and-swap, once; report the result with {@link GroupController#onSwapResult}.
     *
     * @param swapId identifies this attempt in this process
     * @param expectedRevision platform revision that must be current, 0 when the key must be absent
     * @param newRecord record to write
     */
    record Swap(long swapId, long expectedRevision, GroupRecord newRecord) implements GroupAction {}

    /**
     * Read the record from the platform; report it with {@link GroupController#onRecord}, a missing one as {@link
     * GroupRecord#EMPTY} with revision 0, or a failure with {@link GroupController#onReadFailed}.
     */
    record ReadRecord() implements GroupAction {}

    /**
     * Fetch the record from a peer that knows a later version; report it with {@link GroupController#onPeerRecord}.
     *
     * @param from process that knows the later version
     * @param peer its address
     */
    record FetchRecord(ProcessId from, Endpoint peer) implements GroupAction {}

    /**
     * Push a committed record to all other members. Members that miss it learn the version from heartbeats and fetch
     * it.
     *
     * @param record the record
     * @param revision its platform revision
     */
    record Publish(GroupRecord record, long revision) implements GroupAction {}

    /**
     * Hand over a partition: admit no further requests for it, wait for its in-flight requests, send its attempt
     * records, then call {@link GroupController#onHandedOver} or {@link GroupController#onHandOverFailed}.
     *
     * @param grant the grant that ends
     * @param to next owner
     */
    record HandOver(Grant grant, Member to) implements GroupAction {}

    /**
     * Ask the owner of a partition to move it; the owner calls {@link GroupController#requestMove}.
     *
     * @param owner owner's process
     * @param peer its address
     * @param partition partition to move
     * @param to next owner
     */
    record RequestMove(ProcessId owner, Endpoint peer, PartitionId partition, SessionId to) implements GroupAction {}
}
