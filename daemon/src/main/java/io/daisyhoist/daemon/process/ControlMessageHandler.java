package io.daisyhoist.daemon.process;

import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.membership.GroupController;
import io.daisyhoist.core.membership.GroupSnapshot;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.SessionId;
import io.daisyhoist.daemon.connection.PeerHandler;
import io.daisyhoist.daemon.connection.PeerReply;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.FenceRequest;
import io.daisyhoist.wire.proto.Heartbeat;
import io.daisyhoist.wire.proto.HeartbeatAck;

/**
 * Handles the control messages of other daemons on the control thread and delegates all other messages to the traffic
 * handler.
 *
 * <p>Called on event loops. A message that violates a constraint of the core types is logged and dropped, because its
 * sender cannot be trusted to act on a reply.
 */
final class ControlMessageHandler implements PeerHandler {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ProcessId self;
    private final ControlThread controlThread;
    private final GroupController controller;
    private final GroupLoop groupLoop;
    private final ConfigLoop configLoop;
    private final PeerStateTracker peerState;
    private final PeerHandler trafficHandler;

    ControlMessageHandler(ControlPlane controlPlane, GroupLoop groupLoop, PeerHandler trafficHandler) {
        this.self = controlPlane.context().self();
        this.controlThread = controlPlane.context().controlThread();
        this.controller = controlPlane.controller();
        this.groupLoop = groupLoop;
        this.configLoop = controlPlane.config();
        this.peerState = controlPlane.peerState();
        this.trafficHandler = trafficHandler;
    }

    @Override
    public void handle(ProcessId from, Envelope message, PeerReply reply) {
        if (!isControl(message)) {
            trafficHandler.handle(from, message, reply);
            return;
        }
        controlThread.execute(() -> {
            try {
                handleControl(from, message, reply);
                groupLoop.step();
            } catch (IllegalArgumentException e) {
                LOGGER.atWarning().log(
                        "event=peer_message_rejected from=%s message=%s reason=\"%s\"",
                        from, message.getBodyCase(), e.getMessage());
            }
        });
    }

    @Override
    public void onDisconnected(ProcessId from) {
        trafficHandler.onDisconnected(from);
    }

    private static boolean isControl(Envelope message) {
        return switch (message.getBodyCase()) {
            case HEARTBEAT, FENCE_REQUEST, GROUP_UPDATE, GROUP_FETCH, CONFIG_FETCH, CONFIG_UPDATE, MOVE_REQUEST -> true;
            default -> false;
        };
    }

    private void handleControl(ProcessId from, Envelope message, Consumer<Envelope> reply) {
        switch (message.getBodyCase()) {
            case HEARTBEAT -> onHeartbeat(from, message.getHeartbeat(), reply);
            case FENCE_REQUEST -> onFenceRequest(message.getFenceRequest(), reply);
            case GROUP_UPDATE ->
                controller.onPeerRecord(
                        ControlMessageCodec.record(message.getGroupUpdate()),
                        message.getGroupUpdate().getRevision());
            case GROUP_FETCH -> onGroupFetch(reply);
            case CONFIG_FETCH -> reply.accept(configLoop.toUpdateMessage());
            case CONFIG_UPDATE -> configLoop.onUpdate(message.getConfigUpdate());
            case MOVE_REQUEST ->
                controller.requestMove(
                        ControlMessageCodec.partition(message.getMoveRequest().getPartition()),
                        ControlMessageCodec.session(message.getMoveRequest().getTo()));
            default -> throw new IllegalArgumentException("unexpected control message");
        }
    }

    private void onHeartbeat(ProcessId from, Heartbeat heartbeat, Consumer<Envelope> reply) {
        SessionId session = ControlMessageCodec.session(heartbeat.getSession());
        if (!session.process().equals(from)) {
            throw new IllegalArgumentException("heartbeat session belongs to another process");
        }
        HeartbeatAck.Result result = ControlMessageCodec.result(controller.onHeartbeat(session));
        controller
                .snapshot()
                .record()
                .member(session)
                .ifPresent(member ->
                        peerState.onPeerState(from, member.peer(), heartbeat.getVersions(), heartbeat.getLoad()));
        reply.accept(Envelope.newBuilder()
                .setHeartbeatAck(HeartbeatAck.newBuilder()
                        .setResult(result)
                        .setWitnessIncarnation(self.incarnation())
                        .setVersions(peerState.ownVersions())
                        .setLoad(peerState.ownLoad()))
                .build());
    }

    private void onFenceRequest(FenceRequest request, Consumer<Envelope> reply) {
        SessionId session = ControlMessageCodec.session(request.getSession());
        ProcessId witness = new ProcessId(self.daemon(), request.getWitnessIncarnation());
        reply.accept(Envelope.newBuilder()
                .setFenceReply(
                        ControlMessageCodec.fenceReply(controller.onFenceRequest(witness, session), self.incarnation()))
                .build());
    }

    private void onGroupFetch(Consumer<Envelope> reply) {
        GroupSnapshot snapshot = controller.snapshot();
        reply.accept(ControlMessageCodec.groupUpdate(snapshot.record(), snapshot.revision()));
    }
}
