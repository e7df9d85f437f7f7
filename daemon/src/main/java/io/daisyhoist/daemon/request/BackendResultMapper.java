package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.admission.Outcome;
import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.error.RunState;
import io.daisyhoist.daemon.connection.BackendResult;
import io.daisyhoist.daemon.connection.BackendResult.Answered;
import io.daisyhoist.daemon.connection.BackendResult.NotWritten;
import io.daisyhoist.daemon.connection.BackendResult.Unknown;
import io.daisyhoist.daemon.connection.HttpField;

/**
 * Maps the result of a backend call to the response for the client and to the outcome for the admission controller.
 * Stateless.
 */
final class BackendResultMapper {
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(60);

    private BackendResultMapper() {}

    static OutboundResponse toResponse(BackendResult result) {
        if (result instanceof Answered answered) {
            return retryAfterOfShed(answered)
                    .map(wait -> OutboundResponse.refused(
                            Refusal.of(RefusalCode.OVERLOADED, "shed by the backend server", wait)))
                    .orElseGet(() -> OutboundResponse.ran(answered.status(), answered.headers(), answered.body()));
        }
        if (result instanceof NotWritten notWritten) {
            return Refusals.notRun(refusalCodeOf(notWritten), notWritten.message());
        }
        if (result instanceof Unknown unknown) {
            RefusalCode code = unknown.reason() == BackendResult.UnknownReason.DEADLINE
                    ? RefusalCode.DEADLINE_EXCEEDED
                    : RefusalCode.BACKEND_LOST;
            return Refusals.refused(code, RunState.UNKNOWN, unknown.message());
        }
        return Refusals.notRun(RefusalCode.STALE_FENCE, "the backend server has seen a newer owner");
    }

    static Outcome toAdmissionOutcome(BackendResult result) {
        if (result instanceof Answered answered) {
            return retryAfterOfShed(answered).isPresent() ? Outcome.SHED : Outcome.OK;
        }
        if (result instanceof NotWritten notWritten) {
            return notWritten.reason() == BackendResult.NotWrittenReason.CONNECTION_REFUSED
                    ? Outcome.CONNECTION_REFUSED
                    : Outcome.CANCELLED;
        }
        if (result instanceof Unknown unknown) {
            return switch (unknown.reason()) {
                case CONNECTION_LOST -> Outcome.LOST;
                case DEADLINE -> Outcome.TIMED_OUT;
                default -> Outcome.CANCELLED;
            };
        }
        return Outcome.CANCELLED;
    }

    /**
     * Returns the {@code Retry-After} delay of a response with which a backend server sheds load.
     *
     * <p>By contract, a backend server does not run a request to which it responds with 503 and {@code Retry-After}; a
     * 503 without that header is an ordinary response.
     */
    private static Optional<Duration> retryAfterOfShed(Answered answered) {
        if (answered.status() != SERVICE_UNAVAILABLE) {
            return Optional.empty();
        }
        return answered.headers().stream()
                .filter(field -> field.name().equalsIgnoreCase("Retry-After"))
                .map(HttpField::value)
                .findFirst()
                .map(BackendResultMapper::parseSeconds);
    }

    private static Duration parseSeconds(String text) {
        if (!text.matches("\\d{1,6}")) {
            return Duration.ofSeconds(1);
        }
        Duration retryAfter = Duration.ofSeconds(Long.parseLong(text));
        return retryAfter.compareTo(MAX_RETRY_AFTER) < 0 ? retryAfter : MAX_RETRY_AFTER;
    }

    private static RefusalCode refusalCodeOf(NotWritten notWritten) {
        return switch (notWritten.reason()) {
            case CONNECTION_REFUSED -> RefusalCode.BACKEND_UNREACHABLE;
            case POOL_EXHAUSTED -> RefusalCode.OVERLOADED;
            case LAST_CHECK -> RefusalCode.LEASE_LAPSED;
            case INVALID_REQUEST -> RefusalCode.BAD_REQUEST;
            case CANCELLED, DEADLINE -> RefusalCode.DEADLINE_EXCEEDED;
        };
    }

    /** Returns the name of the result in the metrics. */
    static String metricLabel(BackendResult result) {
        boolean invalid =
                result instanceof Unknown unknown && unknown.reason() == BackendResult.UnknownReason.INVALID_RESPONSE;
        return invalid ? "InvalidResponse" : result.getClass().getSimpleName();
    }
}
