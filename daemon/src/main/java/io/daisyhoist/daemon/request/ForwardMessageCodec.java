package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import io.daisyhoist.core.admission.Rank;
import io.daisyhoist.core.atmostonce.AttemptToken;
import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.error.RunState;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.HttpField;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.ForwardRequest;
import io.daisyhoist.wire.proto.ForwardResponse;
import io.daisyhoist.wire.proto.Header;
import io.vertx.core.buffer.Buffer;

/** Converts between forwarded requests and messages. Stateless; decoders throw {@link IllegalArgumentException}. */
final class ForwardMessageCodec {
    private ForwardMessageCodec() {}

    static Envelope encode(
            InboundRequest request,
            Optional<PartitionId> partition,
            boolean tokenOnly,
            Optional<String> traceparent,
            TimeSource time) {
        ForwardRequest.Builder message = ForwardRequest.newBuilder()
                .setService(request.service().name())
                .setMethod(request.method())
                .setPath(request.path())
                .setBody(ByteString.copyFrom(request.body().getBytes()))
                .setRemainingDeadlineMs((int) request.deadline().remaining(time).toMillis())
                .setRank(request.rank().label())
                .setTraceparent(traceparent.orElse(""))
                .setTokenOnly(tokenOnly);
        partition.ifPresent(known -> message.setPartitionIndex(known.index()));
        request.key().ifPresent(message::setKey);
        request.attemptToken().ifPresent(token -> message.setAttemptToken(token.format()));
        request.headers().forEach(field -> message.addHeaders(toHeader(field)));
        return Envelope.newBuilder().setForwardRequest(message).build();
    }

    static InboundRequest decode(ForwardRequest message, Optional<String> traceparent, TimeSource time) {
        Optional<AttemptToken> token = message.hasAttemptToken()
                ? Optional.of(AttemptToken.parse(message.getAttemptToken())
                        .orElseThrow(() -> new IllegalArgumentException("malformed attempt token")))
                : Optional.empty();
        return new InboundRequest(
                new ServiceName(message.getService()),
                message.hasKey() ? Optional.of(message.getKey()) : Optional.empty(),
                message.getMethod(),
                message.getPath(),
                toFields(message.getHeadersList()),
                Buffer.buffer(message.getBody().toByteArray()),
                Rank.fromLabel(message.getRank()).orElse(Rank.NORMAL),
                Deadline.after(time, Duration.ofMillis(Integer.toUnsignedLong(message.getRemainingDeadlineMs()))),
                token,
                traceparent);
    }

    static Optional<PartitionId> partition(ForwardRequest message) {
        return message.hasPartitionIndex()
                ? Optional.of(new PartitionId(new ServiceName(message.getService()), message.getPartitionIndex()))
                : Optional.empty();
    }

    static Envelope encode(OutboundResponse response, long groupVersion, String backend) {
        ForwardResponse.Builder message = ForwardResponse.newBuilder()
                .setStatus(response.status())
                .setGroupVersion(groupVersion)
                .setBackend(backend);
        response.attemptToken().ifPresent(message::setAttemptToken);
        response.refusal()
                .ifPresentOrElse(
                        refusal -> message.setRefusal(io.daisyhoist.wire.proto.Refusal.newBuilder()
                                .setCode(refusal.code().label())
                                .setRunState(refusal.runState().label())
                                .setMessage(refusal.message())
                                .setRetryAfterMs((int) Math.min(
                                        Integer.MAX_VALUE, refusal.retryAfter().toMillis()))),
                        () -> {
                            message.setBody(ByteString.copyFrom(response.body().getBytes()));
                            response.headers().forEach(field -> message.addHeaders(toHeader(field)));
                        });
        return Envelope.newBuilder().setForwardResponse(message).build();
    }

    /**
     * Decodes a response; a refusal code or run state that this version does not know maps to run state {@code
     * UNKNOWN}.
     */
    static OutboundResponse decode(ForwardResponse message) {
        Optional<String> token = message.hasAttemptToken() ? Optional.of(message.getAttemptToken()) : Optional.empty();
        if (message.hasRefusal()) {
            return OutboundResponse.refused(toRefusal(message.getRefusal()), token);
        }
        if (token.isPresent()) {
            return OutboundResponse.token(token.get());
        }
        if (message.getStatus() < 200 || message.getStatus() > 999) {
            return Refusals.unknown(RefusalCode.BACKEND_LOST, "the owner's answer is not understood");
        }
        return OutboundResponse.ran(
                message.getStatus(),
                toFields(message.getHeadersList()),
                Buffer.buffer(message.getBody().toByteArray()));
    }

    private static Refusal toRefusal(io.daisyhoist.wire.proto.Refusal message) {
        Optional<RefusalCode> code = RefusalCode.fromLabel(message.getCode());
        Optional<RunState> run = List.of(RunState.values()).stream()
                .filter(state -> state.label().equals(message.getRunState()))
                .findFirst();
        if (code.isEmpty() || run.isEmpty()) {
            return new Refusal(
                    RefusalCode.BACKEND_LOST, RunState.UNKNOWN, "the owner's refusal is not understood", Duration.ZERO);
        }
        return new Refusal(
                code.get(),
                run.get(),
                message.getMessage(),
                Duration.ofMillis(Integer.toUnsignedLong(message.getRetryAfterMs())));
    }

    private static Header toHeader(HttpField field) {
        return Header.newBuilder().setName(field.name()).setValue(field.value()).build();
    }

    private static List<HttpField> toFields(List<Header> headers) {
        return headers.stream()
                .map(header -> new HttpField(header.getName(), header.getValue()))
                .toList();
    }
}
