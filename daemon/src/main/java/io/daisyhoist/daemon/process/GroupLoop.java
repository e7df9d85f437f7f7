package io.daisyhoist.daemon.process;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.lease.FenceOutcome;
import io.daisyhoist.core.membership.Grant;
import io.daisyhoist.core.membership.GroupAction;
import io.daisyhoist.core.membership.GroupController;
import io.daisyhoist.core.membership.GroupRecord;
import io.daisyhoist.core.membership.GroupRecordJson;
import io.daisyhoist.core.membership.GroupSnapshot;
import io.daisyhoist.core.membership.Member;
import io.daisyhoist.core.membership.SwapResult;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.daemon.connection.PeerChannel;
import io.daisyhoist.daemon.request.PartitionTransfer;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.GroupFetch;
import io.daisyhoist.wire.proto.Heartbeat;

/**
 * Executes the actions that the {@link GroupController} requests.
 *
 * <p>Invariant: the controller is called on the control thread only, and each call is followed by publishing its
 * snapshot, so that traffic threads never serve a partition longer than the controller allows. Methods other than
 * {@link #start()} must be called on the control thread.
 */
final class GroupLoop {
    /**
     * Waits until a partition has no request in flight, then sends its attempt records to the next owner; thread-safe.
     */
    @FunctionalInterface
    interface HandOver {
        CompletionStage<PartitionTransfer.Result> handOver(Grant grant, Member to);
    }

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
    private static final Duration PEER_CALL_TIMEOUT = Duration.ofMillis(700);

    private final ControlContext context;
    private final String storeKey;
    private final GroupController controller;
    private final PeerStateTracker peerState;
    private final HandOver partitionHandOver;
    private final Consumer<GroupSnapshot> publisher;
    private long lastLoggedVersion = -1;

    GroupLoop(
            ControlContext context,
            String storeKey,
            GroupController controller,
            PeerStateTracker peerState,
            HandOver partitionHandOver,
            Consumer<GroupSnapshot> publisher) {
        this.context = context;
        this.storeKey = storeKey;
        this.controller = controller;
        this.peerState = peerState;
        this.partitionHandOver = partitionHandOver;
        this.publisher = publisher;
    }

    /** Starts the periodic step on the control thread. */
    void start() {
        context.controlThread().scheduleWithFixedDelay(this::step, TICK_INTERVAL);
    }

    /** Publishes the controller's snapshot and executes the actions that are due. */
    void step() {
        List<GroupAction> actions = controller.onTick();
        publish();
        actions.forEach(this::execute);
    }

    private void publish() {
        GroupSnapshot snapshot = controller.snapshot();
        publisher.accept(snapshot);
        if (snapshot.record().version() == lastLoggedVersion) {
            return;
        }
        lastLoggedVersion = snapshot.record().version();
        LOGGER.atInfo().log(
                "event=group_record version=%d members=%d grants=%d own_grants=%d",
                lastLoggedVersion,
                snapshot.record().members().size(),
                snapshot.record().grants().size(),
                snapshot.served().size());
    }

    private void execute(GroupAction action) {
        if (action instanceof GroupAction.SendHeartbeat heartbeat) {
            sendHeartbeat(heartbeat);
        } else if (action instanceof GroupAction.SendFence fence) {
            sendFence(fence);
        } else if (action instanceof GroupAction.Swap swap) {
            swap(swap);
        } else if (action instanceof GroupAction.ReadRecord) {
            readRecord();
        } else if (action instanceof GroupAction.FetchRecord fetch) {
            fetchRecord(fetch);
        } else if (action instanceof GroupAction.Publish push) {
            pushRecord(push);
        } else if (action instanceof GroupAction.HandOver handOver) {
            handOver(handOver);
        } else if (action instanceof GroupAction.RequestMove request) {
            requestMove(request);
        }
    }

    private void sendHeartbeat(GroupAction.SendHeartbeat action) {
        if (action.to().equals(context.self())) {
            controller.onHeartbeatAck(
                    action.session(), context.self(), action.sentAt(), controller.onHeartbeat(action.session()));
            return;
        }
        Envelope message = Envelope.newBuilder()
                .setHeartbeat(Heartbeat.newBuilder()
                        .setSession(ControlMessageCodec.session(action.session()))
                        .setVersions(peerState.ownVersions())
                        .setLoad(peerState.ownLoad()))
                .build();
        callPeer(action.peer(), message, reply -> {
            if (!reply.hasHeartbeatAck()) {
                return;
            }
            ProcessId witness =
                    new ProcessId(action.to().daemon(), reply.getHeartbeatAck().getWitnessIncarnation());
            controller.onHeartbeatAck(
                    action.session(), witness, action.sentAt(), ControlMessageCodec.outcome(reply.getHeartbeatAck()));
            peerState.onPeerState(
                    witness,
                    action.peer(),
                    reply.getHeartbeatAck().getVersions(),
                    reply.getHeartbeatAck().getLoad());
        });
    }

    private void sendFence(GroupAction.SendFence action) {
        if (action.to().equals(context.self())) {
            controller.onFenceReply(
                    action.session(), context.self(), controller.onFenceRequest(context.self(), action.session()));
            return;
        }
        callPeer(action.peer(), ControlMessageCodec.fenceRequest(action.to(), action.session()), reply -> {
            if (!reply.hasFenceReply()) {
                return;
            }
            FenceOutcome outcome = ControlMessageCodec.outcome(reply.getFenceReply());
            ProcessId witness = outcome.result() == FenceOutcome.Result.SUPERSEDED
                    ? action.to()
                    : new ProcessId(action.to().daemon(), reply.getFenceReply().getWitnessIncarnation());
            controller.onFenceReply(action.session(), witness, outcome);
        });
    }

    private void swap(GroupAction.Swap action) {
        byte[] json = GroupRecordJson.write(action.newRecord());
        context.store()
                .swap(storeKey, action.expectedRevision(), json)
                .onComplete(result -> context.controlThread().execute(() -> {
                    // A failed future means that nothing was sent, so the write can never take effect.
                    SwapResult outcome = result.succeeded() ? result.result().result() : SwapResult.CONFLICT;
                    long revision = result.succeeded() ? result.result().revision() : 0;
                    LOGGER.atInfo().log(
                            "event=group_swap swap=%d version=%d expected_revision=%d result=%s sent=%b",
                            action.swapId(),
                            action.newRecord().version(),
                            action.expectedRevision(),
                            outcome,
                            result.succeeded());
                    controller.onSwapResult(action.swapId(), outcome, revision);
                    step();
                }));
    }

    private void readRecord() {
        context.store()
                .read(storeKey)
                .onComplete(result -> context.controlThread().execute(() -> {
                    if (result.failed()) {
                        controller.onReadFailed();
                    } else if (result.result().isEmpty()) {
                        controller.onRecord(GroupRecord.EMPTY, 0);
                    } else {
                        controller.onRecord(
                                GroupRecordJson.read(result.result().get().bytes()),
                                result.result().get().revision());
                    }
                    step();
                }));
    }

    private void fetchRecord(GroupAction.FetchRecord action) {
        fetchRecord(action.peer());
    }

    /** Fetches the record from a peer that knows a later version. */
    void fetchRecord(Endpoint peer) {
        Envelope message = Envelope.newBuilder()
                .setGroupFetch(GroupFetch.getDefaultInstance())
                .build();
        callPeer(peer, message, reply -> {
            if (reply.hasGroupUpdate()) {
                controller.onPeerRecord(
                        ControlMessageCodec.record(reply.getGroupUpdate()),
                        reply.getGroupUpdate().getRevision());
            }
        });
    }

    private void pushRecord(GroupAction.Publish action) {
        Envelope message = ControlMessageCodec.groupUpdate(action.record(), action.revision());
        for (Member member : action.record().members()) {
            if (!member.session().process().equals(context.self())) {
                context.peers().send(member.peer(), PeerChannel.CONTROL, message);
            }
        }
    }

    private void handOver(GroupAction.HandOver action) {
        partitionHandOver
                .handOver(action.grant(), action.to())
                .whenComplete((result, failure) -> context.controlThread().execute(() -> {
                    PartitionTransfer.Result transferResult =
                            failure == null ? result : PartitionTransfer.Result.FAILED_AFTER_TRANSFER;
                    LOGGER.atInfo().log(
                            "event=hand_over partition=%s epoch=%d to=%s result=%s",
                            action.grant().partition(),
                            action.grant().epoch(),
                            action.to().session().daemon(),
                            transferResult);
                    if (transferResult == PartitionTransfer.Result.DONE) {
                        controller.onHandedOver(action.grant().partition());
                    } else {
                        controller.onHandOverFailed(
                                action.grant().partition(),
                                transferResult == PartitionTransfer.Result.FAILED_AFTER_TRANSFER);
                    }
                    step();
                }));
    }

    private void requestMove(GroupAction.RequestMove action) {
        if (action.owner().equals(context.self())) {
            controller.requestMove(action.partition(), action.to());
            return;
        }
        context.peers()
                .send(
                        action.peer(),
                        PeerChannel.CONTROL,
                        ControlMessageCodec.moveRequest(
                                action.partition(),
                                action.to(),
                                controller.snapshot().record().version()));
    }

    private void callPeer(Endpoint peer, Envelope message, Consumer<Envelope> onReply) {
        context.peers()
                .call(peer, PeerChannel.CONTROL, message, PEER_CALL_TIMEOUT)
                .whenComplete((reply, failure) -> context.controlThread().execute(() -> {
                    if (failure != null) {
                        LOGGER.atFine().log(
                                "event=peer_call_failed peer=%s message=%s reason=\"%s\"",
                                peer, message.getBodyCase(), failure.getMessage());
                        return;
                    }
                    onReply.accept(reply);
                    step();
                }));
    }
}
