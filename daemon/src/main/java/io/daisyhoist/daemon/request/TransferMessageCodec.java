package io.daisyhoist.daemon.request;

import java.util.Optional;

import com.google.protobuf.ByteString;
import io.daisyhoist.core.atmostonce.AttemptRecord;
import io.daisyhoist.core.atmostonce.AttemptToken;
import io.daisyhoist.core.atmostonce.LedgerExport;
import io.daisyhoist.core.atmostonce.RecordedResponse;
import io.daisyhoist.core.membership.Grant;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.model.SessionId;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.Header;
import io.daisyhoist.wire.proto.Partition;
import io.daisyhoist.wire.proto.Session;
import io.daisyhoist.wire.proto.TransferAttempts;

/** Converts between attempt records and messages. Stateless; decoders throw {@link IllegalArgumentException}. */
final class TransferMessageCodec {
    private TransferMessageCodec() {}

    static Envelope encode(Grant grant, LedgerExport export) {
        TransferAttempts.Builder message = TransferAttempts.newBuilder()
                .setPartition(Partition.newBuilder()
                        .setService(grant.partition().service().name())
                        .setIndex(grant.partition().index()))
                .setSender(Session.newBuilder()
                        .setDaemon(grant.owner().daemon().name())
                        .setIncarnation(grant.owner().incarnation())
                        .setNumber(grant.owner().number()))
                .setSourceEpoch(export.sourceEpoch())
                .setTargetEpoch(export.targetEpoch())
                .setExportNumber(export.number())
                .putAllDroppedUpToMs(export.evictionWatermarksMillis());
        export.records().forEach(attempt -> message.addRecords(encode(attempt)));
        return Envelope.newBuilder().setTransferAttempts(message).build();
    }

    static PartitionId partition(TransferAttempts message) {
        return new PartitionId(
                new ServiceName(message.getPartition().getService()),
                message.getPartition().getIndex());
    }

    static SessionId sender(TransferAttempts message) {
        Session sender = message.getSender();
        return new SessionId(new DaemonId(sender.getDaemon()), sender.getIncarnation(), sender.getNumber());
    }

    static LedgerExport decode(TransferAttempts message) {
        return new LedgerExport(
                message.getSourceEpoch(),
                message.getTargetEpoch(),
                message.getExportNumber(),
                message.getDroppedUpToMsMap(),
                message.getRecordsList().stream()
                        .map(TransferMessageCodec::decode)
                        .toList());
    }

    private static io.daisyhoist.wire.proto.AttemptRecord encode(AttemptRecord attempt) {
        io.daisyhoist.wire.proto.AttemptRecord.Builder message = io.daisyhoist.wire.proto.AttemptRecord.newBuilder()
                .setToken(attempt.token().format())
                .setState(
                        attempt.state() == AttemptRecord.State.FINISHED
                                ? io.daisyhoist.wire.proto.AttemptRecord.State.FINISHED
                                : io.daisyhoist.wire.proto.AttemptRecord.State.UNKNOWN);
        attempt.response().ifPresent(response -> {
            message.setBodyKept(true).setStatus(response.status()).setBody(ByteString.copyFrom(response.body()));
            response.headers()
                    .forEach(field -> message.addHeaders(
                            Header.newBuilder().setName(field.name()).setValue(field.value())));
        });
        return message.build();
    }

    private static AttemptRecord decode(io.daisyhoist.wire.proto.AttemptRecord message) {
        AttemptToken token = AttemptToken.parse(message.getToken())
                .orElseThrow(() -> new IllegalArgumentException("malformed attempt token"));
        boolean finished = message.getState() == io.daisyhoist.wire.proto.AttemptRecord.State.FINISHED;
        Optional<RecordedResponse> response = message.getBodyKept()
                ? Optional.of(new RecordedResponse(
                        message.getStatus(),
                        message.getHeadersList().stream()
                                .map(header -> new RecordedResponse.Field(header.getName(), header.getValue()))
                                .toList(),
                        message.getBody().toByteArray()))
                : Optional.empty();
        return new AttemptRecord(
                token, finished ? AttemptRecord.State.FINISHED : AttemptRecord.State.UNKNOWN, response);
    }
}
