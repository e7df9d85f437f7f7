package io.daisyhoist.daemon.connection;

/** Names of the Daisyhoist HTTP headers. */
public final class DaisyhoistHeaders {
    public static final String DEADLINE_MS = "Daisyhoist-Deadline-Ms";
    public static final String RANK = "Daisyhoist-Rank";
    public static final String ATTEMPT_TOKEN = "Daisyhoist-Attempt-Token";
    /** Id of one request to a backend server, which may echo it so that a response cannot be taken for another one. */
    public static final String REQUEST_ID = "Daisyhoist-Request-Id";

    public static final String FENCE = "Daisyhoist-Fence";
    public static final String STALE_FENCE = "Daisyhoist-Stale-Fence";
    public static final String RUN = "Daisyhoist-Run";
    public static final String REFUSAL = "Daisyhoist-Refusal";

    private DaisyhoistHeaders() {}
}
