package io.daisyhoist.core.error;

/** What is known about whether a backend server ran a request. */
public enum RunState {
    /** The request ran to its end. */
    RAN("ran"),
    /** The request certainly did not run. */
    NOT_RUN("not-run"),
    /** The request may have run, in whole or in part. */
    UNKNOWN("unknown");

    private final String label;

    RunState(String label) {
        this.label = label;
    }

    /** Returns the value of the {@code Daisyhoist-Run} header. */
    public String label() {
        return label;
    }
}
