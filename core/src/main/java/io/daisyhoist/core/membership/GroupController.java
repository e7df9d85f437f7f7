package io.daisyhoist.core.membership;

import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.lease.FenceOutcome;
import io.daisyhoist.core.lease.HeartbeatOutcome;
import io.daisyhoist.core.lease.LeaseSettings;
import io.daisyhoist.core.lease.WitnessLedger;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.SessionId;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;

/**
 * Membership and ownership decisions of one daemon, as a state machine without I/O.
 *
 * <p>Not thread-safe: one control thread calls it and publishes {@link #snapshot()} to traffic threads after each call.
 */
public final class GroupController {
    private final WitnessLedger ledger;
    private GroupSnapshot snapshot = GroupSnapshot.EMPTY;

    public GroupController(
            MemberProfile profile,
            LeaseSettings settings,
            Placement placement,
            TimeSource time,
            RandomGenerator random) {
        ledger = new WitnessLedger(settings.ttl(), time);
    }

    /** Advances timers; called every 50 ms. Returns what to do now. */
    public List<GroupAction> onTick() {
        return List.of();
    }

    /** Returns what traffic threads may know. */
    public GroupSnapshot snapshot() {
        return snapshot;
    }

    /** Takes over a record read from the platform. */
    public void onRecord(GroupRecord record, long revision) {
        snapshot = new GroupSnapshot(
                record, revision, snapshot.session(), snapshot.served(), snapshot.handingOver(), snapshot.lease());
    }

    /** Takes over a committed record from a peer; earlier versions are ignored. */
    public void onPeerRecord(GroupRecord record, long revision) {}

    /** Notes the record version that a peer's heartbeat or acknowledgement carried. */
    public void onPeerVersion(ProcessId peer, long version) {}

    /** Notes that a read from the platform failed or timed out. */
    public void onReadFailed() {}

    /** Answers a heartbeat of another member. */
    public HeartbeatOutcome onHeartbeat(SessionId session) {
        return ledger.heartbeat(session);
    }

    /**
     * Takes a response to an own heartbeat.
     *
     * @param session session in the heartbeat
     * @param witness process that answered
     * @param sentAt time of sending from the action
     */
    public void onHeartbeatAck(SessionId session, ProcessId witness, ElapsedTimer sentAt, HeartbeatOutcome outcome) {}

    /** Answers a request to fence a session. */
    public FenceOutcome onFenceRequest(SessionId session) {
        return ledger.fence(session);
    }

    /** Takes a response to an own fence request from the process that answered. */
    public void onFenceReply(SessionId session, ProcessId witness, FenceOutcome outcome) {}

    /**
     * Takes the result of a swap.
     *
     * @param newRevision platform revision of the written record when the result is APPLIED, otherwise ignored
     */
    public void onSwapResult(long swapId, SwapResult result, long newRevision) {}

    /** Takes over a configuration. */
    public void onConfig(EffectiveConfig config) {}

    /** Notes whether the backend server announces itself; only then does the daemon join or receive partitions. */
    public void onBackendAvailable(boolean available) {}

    /** Sets the load by partition, in any unit, that rebalancing uses; without it each partition counts as 1. */
    public void onPartitionLoads(Map<PartitionId, Double> loads) {}

    /** Marks the own member leaving and hands over its partitions. */
    public void startLeaving() {}

    /** Removes the own member once its partitions are handed over; called when its in-flight requests have ended. */
    public void finishLeaving() {}

    /** Returns whether the own member has been removed after {@link #finishLeaving}. */
    public boolean hasLeft() {
        return false;
    }

    /** Starts moving an own partition; ignored when it is not owned or the target cannot own it. */
    public void requestMove(PartitionId partition, SessionId to) {}

    /** Notes that nothing runs for a partition any more and that its attempt records have been sent. */
    public void onHandedOver(PartitionId partition) {}

    /**
     * Notes that a hand-over failed.
     *
     * @param recordsSent whether the next owner may have received attempt records; the partition is then served again
     *     only under a new epoch, so that the records it received stay complete for the old epoch
     */
    public void onHandOverFailed(PartitionId partition, boolean recordsSent) {}
}
