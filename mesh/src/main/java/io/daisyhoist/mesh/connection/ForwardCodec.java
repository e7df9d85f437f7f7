package io.daisyhoist.mesh.connection;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.daisyhoist.core.customer.ApiKeyHash;
import io.daisyhoist.core.customer.CustomerCredential;
import io.daisyhoist.core.customer.CustomerName;
import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.routing.LoadBalancer;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.HttpField;
import io.daisyhoist.daemon.connection.ResponseHeads;
import io.daisyhoist.mesh.connection.BackendOutcome.Answered;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRun;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRunReason;
import io.daisyhoist.mesh.connection.BackendOutcome.Unknown;
import io.daisyhoist.mesh.connection.BackendOutcome.UnknownReason;
import io.daisyhoist.wire.proto.BackendLoad;
import io.daisyhoist.wire.proto.BackendProcess;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.ForwardRequest;
import io.daisyhoist.wire.proto.ForwardResponse;
import io.daisyhoist.wire.proto.Header;
import io.daisyhoist.wire.proto.Refusal;
import io.vertx.core.buffer.Buffer;

/** Encodes and decodes requests and their outcomes as peer messages. Stateless. */
public final class ForwardCodec {
    private static final String NOT_RUN = "not-run";
    private static final String UNKNOWN = "unknown";

    /** Prefix of the refusal code of a request that reached a backend server, which rejected it. */
    private static final String REJECTED_BY_BACKEND_PREFIX = "arrived:";

    private static final double PERCENT = 100;

    private ForwardCodec() {}

    /** Encodes a request. */
    public static Envelope encode(BackendRequestData request, Duration queueWait, TimeSource time) {
        ForwardRequest.Builder message = ForwardRequest.newBuilder()
                .setService(request.service().name())
                .setMethod(request.method())
                .setPath(request.uri())
                .setBody(UnsafeByteOperations.unsafeWrap(request.body().getBytes()))
                .setRemainingDeadlineMs(
                        (int) Math.max(0, request.deadline().remaining(time).toMillis()))
                .setRank(Integer.toString(request.priority()))
                .setRequestId(request.id())
                .setCallerService(request.callerService())
                .setExpectedBackend(BackendProcess.newBuilder()
                        .setId(request.expectedProcess().id())
                        .setStartedMs(request.expectedProcess().startedMillis()))
                .setQueueWaitMs((int) queueWait.toMillis())
                .setHasAlternative(request.hasAlternative());
        request.key().ifPresent(key -> message.setKey(Integer.toString(key)));
        request.headers().forEach(field -> message.addHeaders(header(field)));
        request.customer()
                .ifPresent(credential -> message.setCustomer(
                                credential.customer().name())
                        .setCustomerKeyHash(ByteString.copyFrom(credential.key().bytes())));
        return Envelope.newBuilder().setForwardRequest(message).build();
    }

    /**
     * Decodes a request.
     *
     * @throws IllegalArgumentException if a field is missing or out of range
     */
    public static BackendRequestData decode(ForwardRequest message, TimeSource time) {
        requireText("request id", message.getRequestId());
        requireText("method", message.getMethod());
        requireText("path", message.getPath());
        OptionalInt key = message.hasKey() ? OptionalInt.of(Integer.parseInt(message.getKey())) : OptionalInt.empty();
        return new BackendRequestData(
                message.getRequestId(),
                new ServiceName(message.getService()),
                key,
                message.getMethod(),
                message.getPath(),
                fields(message.getHeadersList()),
                buffer(message.getBody()),
                requireNonNegative("rank", Integer.parseInt(message.getRank())),
                Deadline.after(
                        time, Duration.ofMillis(requireNonNegative("deadline", message.getRemainingDeadlineMs()))),
                message.getCallerService(),
                new BackendProcessId(
                        message.getExpectedBackend().getId(),
                        message.getExpectedBackend().getStartedMs()),
                message.getHasAlternative(),
                credential(message),
                Deadline.after(
                        time, Duration.ofMillis(requireNonNegative("deadline", message.getRemainingDeadlineMs()))),
                Duration.ZERO);
    }

    private static Optional<CustomerCredential> credential(ForwardRequest message) {
        if (message.hasCustomer() != message.hasCustomerKeyHash()) {
            throw new IllegalArgumentException("a customer without a key, or a key without a customer");
        }
        return message.hasCustomer()
                ? Optional.of(new CustomerCredential(
                        new CustomerName(message.getCustomer()),
                        ApiKeyHash.ofBytes(message.getCustomerKeyHash().toByteArray())))
                : Optional.empty();
    }

    private static void requireText(String field, String value) {
        if (value.isEmpty()) {
            throw new IllegalArgumentException(field + " is missing");
        }
    }

    private static int requireNonNegative(String field, int value) {
        if (value < 0) {
            throw new IllegalArgumentException(field + " must not be negative: " + value);
        }
        return value;
    }

    /** Encodes an outcome with the load of the backend server. */
    public static Envelope encode(BackendOutcome outcome, LoadBalancer.Report load) {
        ForwardResponse.Builder message = ForwardResponse.newBuilder()
                .setLoad(BackendLoad.newBuilder()
                        .setInFlight(load.busy())
                        .setLimit(load.limit())
                        .setSlowdownPercent((int) Math.round(load.slowdown() * PERCENT)));
        if (outcome instanceof Answered answered) {
            message.setAnsweredByBackend(true)
                    .setStatus(answered.status())
                    .setBody(UnsafeByteOperations.unsafeWrap(answered.body().getBytes()));
            answered.headers().forEach(field -> message.addHeaders(header(field)));
        } else if (outcome instanceof NotRun notRun) {
            message.setRefusal(Refusal.newBuilder()
                    .setRunState(NOT_RUN)
                    .setCode((notRun.reachedBackend() ? REJECTED_BY_BACKEND_PREFIX : "")
                            + notRun.reason().name())
                    .setRetryAfterMs((int) notRun.retryAfter().toMillis()));
        } else if (outcome instanceof Unknown unknown) {
            message.setRefusal(Refusal.newBuilder()
                    .setRunState(UNKNOWN)
                    .setCode(unknown.reason().name()));
        }
        return Envelope.newBuilder().setForwardResponse(message).build();
    }

    /** Decodes an outcome; unrecognized run states and answers without a final status are decoded as an unknown outcome. */
    public static BackendOutcome decode(ForwardResponse message) {
        if (message.getAnsweredByBackend() && !ResponseHeads.isFinal(message.getStatus())) {
            return new Unknown(UnknownReason.DAMAGED_ANSWER);
        }
        if (message.getAnsweredByBackend()) {
            return new Answered(message.getStatus(), fields(message.getHeadersList()), buffer(message.getBody()));
        }
        String code = message.getRefusal().getCode().toUpperCase(Locale.ROOT);
        if (!message.getRefusal().getRunState().equals(NOT_RUN)) {
            return new Unknown(unknownReason(code));
        }
        boolean reachedBackend = code.startsWith(REJECTED_BY_BACKEND_PREFIX.toUpperCase(Locale.ROOT));
        String name = reachedBackend ? code.substring(REJECTED_BY_BACKEND_PREFIX.length()) : code;
        return new NotRun(
                notRunReason(name),
                reachedBackend,
                Duration.ofMillis(message.getRefusal().getRetryAfterMs()));
    }

    /** Decodes the load report of a message. */
    public static Optional<LoadBalancer.Report> load(ForwardResponse message) {
        if (!message.hasLoad()) {
            return Optional.empty();
        }
        BackendLoad load = message.getLoad();
        return Optional.of(
                new LoadBalancer.Report(load.getInFlight(), load.getLimit(), load.getSlowdownPercent() / PERCENT));
    }

    private static NotRunReason notRunReason(String name) {
        for (NotRunReason reason : NotRunReason.values()) {
            if (reason.name().equals(name)) {
                return reason;
            }
        }
        return NotRunReason.REJECTED;
    }

    private static UnknownReason unknownReason(String name) {
        for (UnknownReason reason : UnknownReason.values()) {
            if (reason.name().equals(name)) {
                return reason;
            }
        }
        return UnknownReason.PEER_LOST;
    }

    private static Header header(HttpField field) {
        return Header.newBuilder().setName(field.name()).setValue(field.value()).build();
    }

    private static List<HttpField> fields(List<Header> headers) {
        List<HttpField> fields = new ArrayList<>(headers.size());
        headers.forEach(header -> fields.add(new HttpField(header.getName(), header.getValue())));
        return fields;
    }

    private static Buffer buffer(ByteString bytes) {
        return Buffer.buffer(bytes.toByteArray());
    }
}
