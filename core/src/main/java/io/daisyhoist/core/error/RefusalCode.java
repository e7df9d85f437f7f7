package io.daisyhoist.core.error;

import java.util.Arrays;
import java.util.Optional;

/** Reasons for refusing a request, with the HTTP status and the default run state of a refusal. */
public enum RefusalCode {
    BAD_REQUEST("bad-request", 400, RunState.NOT_RUN),
    UNKNOWN_SERVICE("unknown-service", 404, RunState.NOT_RUN),
    TOO_LARGE("too-large", 413, RunState.NOT_RUN),
    NO_QUORUM("no-quorum", 503, RunState.NOT_RUN),
    NO_OWNER("no-owner", 503, RunState.NOT_RUN),
    NOT_OWNER("not-owner", 503, RunState.NOT_RUN),
    OWNER_UNREACHABLE("owner-unreachable", 503, RunState.NOT_RUN),
    LEASE_LAPSED("lease-lapsed", 503, RunState.NOT_RUN),
    OVERLOADED("overloaded", 503, RunState.NOT_RUN),
    COLD_START("cold-start", 503, RunState.NOT_RUN),
    ZONE_OUT("zone-out", 503, RunState.NOT_RUN),
    DRAINING("draining", 503, RunState.NOT_RUN),
    DEADLINE_EXCEEDED("deadline-exceeded", 504, RunState.NOT_RUN),
    ATTEMPT_TOKEN_REQUIRED("attempt-token-required", 428, RunState.NOT_RUN),
    ATTEMPT_OUTCOME_UNKNOWN("attempt-outcome-unknown", 409, RunState.UNKNOWN),
    ALREADY_RUN("already-run", 409, RunState.RAN),
    CRASH_SUSPECT("crash-suspect", 422, RunState.NOT_RUN),
    STALE_FENCE("stale-fence", 503, RunState.NOT_RUN),
    BACKEND_UNREACHABLE("backend-unreachable", 502, RunState.NOT_RUN),
    BACKEND_LOST("backend-lost", 502, RunState.UNKNOWN);

    private final String label;
    private final int httpStatus;
    private final RunState defaultRunState;

    RefusalCode(String label, int httpStatus, RunState defaultRunState) {
        this.label = label;
        this.httpStatus = httpStatus;
        this.defaultRunState = defaultRunState;
    }

    /** Returns the value of the {@code Daisyhoist-Refusal} header. */
    public String label() {
        return label;
    }

    /** Returns the HTTP status of the refusal. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns the run state of a refusal that does not state another one. */
    public RunState defaultRunState() {
        return defaultRunState;
    }

    /** Finds the code with the given header value. */
    public static Optional<RefusalCode> fromLabel(String label) {
        return Arrays.stream(values()).filter(code -> code.label.equals(label)).findFirst();
    }
}
