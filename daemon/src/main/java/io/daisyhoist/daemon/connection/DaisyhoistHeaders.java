package io.daisyhoist.daemon.connection;

/** Names of the Daisyhoist HTTP headers. */
public final class DaisyhoistHeaders {
    public static final String DEADLINE_MS = "Daisyhoist-Deadline-Ms";
    public static final String RANK = "Daisyhoist-Rank";
    public static final String ATTEMPT_TOKEN = "Daisyhoist-Attempt-Token";
    public static final String FENCE = "Daisyhoist-Fence";
    public static final String STALE_FENCE = "Daisyhoist-Stale-Fence";
    public static final String RUN = "Daisyhoist-Run";
    public static final String REFUSAL = "Daisyhoist-Refusal";

    private DaisyhoistHeaders() {}
}
