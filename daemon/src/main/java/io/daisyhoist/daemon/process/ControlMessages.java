package io.daisyhoist.daemon.process;

import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.membership.GroupController;
import io.daisyhoist.core.membership.GroupSnapshot;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.SessionId;
import io.daisyhoist.daemon.connection.PeerHandler;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.FenceRequest;
import io.daisyhoist.wire.proto.Heartbeat;
import io.daisyhoist.wire.proto.HeartbeatAck;

/**
 * Answers control messages of other daemons on the control thread; passes all others to the traffic handler.
 *
 * <p>Called on event loops. A message that breaks a rule of the core's types is logged and dropped, because its sender
 * cannot be trusted to act on a reply.
 */
final class ControlMessages implements PeerHandler {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ProcessId self;
    private final ControlThread control;
    private final GroupController controller;
    private final GroupLoop group;
    private final ConfigLoop config;
    private final PeerVersions versions;
    private final PeerHandler traffic;

    ControlMessages(Control parts, GroupLoop group, PeerHandler traffic) {
        this.self = parts.context().self();
        this.control = parts.context().control();
        this.controller = parts.controller();
        this.group = group;
        this.config = parts.config();
        this.versions = parts.versions();
        this.traffic = traffic;
    }

    @Override
    public void handle(ProcessId from, Envelope message, Consumer<Envelope> reply) {
        if (!isControl(message)) {
            traffic.handle(from, message, reply);
            return;
        }
        control.execute(() -> {
            try {
                handleControl(from, message, reply);
                group.step();
            } catch (IllegalArgumentException e) {
                LOGGER.atWarning().log(
                        "event=peer_message_rejected from=%s message=%s reason=\"%s\"",
                        from, message.getBodyCase(), e.getMessage());
            }
        });
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
                        PeerMessages.record(message.getGroupUpdate()),
                        message.getGroupUpdate().getRevision());
            case GROUP_FETCH -> onGroupFetch(reply);
            case CONFIG_FETCH -> reply.accept(config.update());
            case CONFIG_UPDATE -> config.onUpdate(message.getConfigUpdate());
            case MOVE_REQUEST ->
                controller.requestMove(
                        PeerMessages.partition(message.getMoveRequest().getPartition()),
                        PeerMessages.session(message.getMoveRequest().getTo()));
            default -> throw new IllegalArgumentException("unexpected message");
        }
    }

    private void onHeartbeat(ProcessId from, Heartbeat heartbeat, Consumer<Envelope> reply) {
        SessionId session = PeerMessages.session(heartbeat.getSession());
        if (!session.process().equals(from)) {
            throw new IllegalArgumentException("heartbeat for another process");
        }
        HeartbeatAck.Result result = PeerMessages.result(controller.onHeartbeat(session));
        controller
                .snapshot()
                .record()
                .member(session)
                .ifPresent(
                        member -> versions.onPeer(from, member.peer(), heartbeat.getVersions(), heartbeat.getLoad()));
        reply.accept(Envelope.newBuilder()
                .setHeartbeatAck(HeartbeatAck.newBuilder()
                        .setResult(result)
                        .setWitnessIncarnation(self.incarnation())
                        .setVersions(versions.own())
                        .setLoad(versions.ownLoad()))
                .build());
    }

    private void onFenceRequest(FenceRequest request, Consumer<Envelope> reply) {
        SessionId session = PeerMessages.session(request.getSession());
        ProcessId addressee = new ProcessId(self.daemon(), request.getWitnessIncarnation());
        reply.accept(Envelope.newBuilder()
                .setFenceReply(
                        PeerMessages.fenceReply(controller.onFenceRequest(addressee, session), self.incarnation()))
                .build());
    }

    private void onGroupFetch(Consumer<Envelope> reply) {
        GroupSnapshot snapshot = controller.snapshot();
        reply.accept(PeerMessages.groupUpdate(snapshot.record(), snapshot.revision()));
    }
}
