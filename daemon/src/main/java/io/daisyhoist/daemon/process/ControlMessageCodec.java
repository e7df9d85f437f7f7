package io.daisyhoist.daemon.process;

import java.time.Duration;

import com.google.protobuf.ByteString;
import io.daisyhoist.core.lease.FenceOutcome;
import io.daisyhoist.core.lease.HeartbeatOutcome;
import io.daisyhoist.core.membership.GroupRecord;
import io.daisyhoist.core.membership.GroupRecordJson;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.model.SessionId;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.FenceReply;
import io.daisyhoist.wire.proto.FenceRequest;
import io.daisyhoist.wire.proto.GroupUpdate;
import io.daisyhoist.wire.proto.HeartbeatAck;
import io.daisyhoist.wire.proto.MoveRequest;
import io.daisyhoist.wire.proto.Partition;
import io.daisyhoist.wire.proto.Session;

/**
 * Converts between control messages and core types. Stateless.
 *
 * <p>Methods that read a message throw {@link IllegalArgumentException} if it violates a constraint of the core types.
 */
final class ControlMessageCodec {
    private ControlMessageCodec() {}

    static Session session(SessionId session) {
        return Session.newBuilder()
                .setDaemon(session.daemon().name())
                .setIncarnation(session.incarnation())
                .setNumber(session.number())
                .build();
    }

    static SessionId session(Session session) {
        return new SessionId(new DaemonId(session.getDaemon()), session.getIncarnation(), session.getNumber());
    }

    static Partition partition(PartitionId partition) {
        return Partition.newBuilder()
                .setService(partition.service().name())
                .setIndex(partition.index())
                .build();
    }

    static PartitionId partition(Partition partition) {
        return new PartitionId(new ServiceName(partition.getService()), partition.getIndex());
    }

    static HeartbeatAck.Result result(HeartbeatOutcome outcome) {
        return switch (outcome) {
            case ACKNOWLEDGED -> HeartbeatAck.Result.ACKNOWLEDGED;
            case FENCED -> HeartbeatAck.Result.FENCED;
            case NOT_A_WITNESS -> HeartbeatAck.Result.NOT_A_WITNESS;
        };
    }

    static HeartbeatOutcome outcome(HeartbeatAck ack) {
        return switch (ack.getResult()) {
            case ACKNOWLEDGED -> HeartbeatOutcome.ACKNOWLEDGED;
            case FENCED -> HeartbeatOutcome.FENCED;
            default -> HeartbeatOutcome.NOT_A_WITNESS;
        };
    }

    static Envelope fenceRequest(ProcessId witness, SessionId session) {
        return Envelope.newBuilder()
                .setFenceRequest(FenceRequest.newBuilder()
                        .setSession(session(session))
                        .setWitnessIncarnation(witness.incarnation()))
                .build();
    }

    static FenceReply fenceReply(FenceOutcome outcome, long incarnation) {
        FenceReply.Result result =
                switch (outcome.result()) {
                    case FENCED -> FenceReply.Result.FENCED;
                    case PROMISED -> FenceReply.Result.PROMISED;
                    case NOT_A_WITNESS -> FenceReply.Result.NOT_A_WITNESS;
                    case SUPERSEDED -> FenceReply.Result.SUPERSEDED;
                };
        return FenceReply.newBuilder()
                .setResult(result)
                .setTimeMs((int) Math.min(outcome.time().toMillis(), Integer.MAX_VALUE))
                .setWitnessIncarnation(incarnation)
                .build();
    }

    static FenceOutcome outcome(FenceReply reply) {
        return switch (reply.getResult()) {
            case FENCED -> FenceOutcome.FENCED;
            case PROMISED -> FenceOutcome.promised(Duration.ofMillis(Integer.toUnsignedLong(reply.getTimeMs())));
            case SUPERSEDED -> FenceOutcome.superseded(Duration.ofMillis(Integer.toUnsignedLong(reply.getTimeMs())));
            default -> FenceOutcome.NOT_A_WITNESS;
        };
    }

    static Envelope groupUpdate(GroupRecord record, long revision) {
        return Envelope.newBuilder()
                .setGroupUpdate(GroupUpdate.newBuilder()
                        .setVersion(record.version())
                        .setRevision(revision)
                        .setRecordJson(ByteString.copyFrom(GroupRecordJson.write(record))))
                .build();
    }

    static GroupRecord record(GroupUpdate update) {
        return GroupRecordJson.read(update.getRecordJson().toByteArray());
    }

    static Envelope moveRequest(PartitionId partition, SessionId to, long groupVersion) {
        return Envelope.newBuilder()
                .setMoveRequest(MoveRequest.newBuilder()
                        .setPartition(partition(partition))
                        .setTo(session(to))
                        .setGroupVersion(groupVersion))
                .build();
    }
}
