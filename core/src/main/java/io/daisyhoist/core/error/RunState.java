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

    /**
     * Returns what is known about a request of which several copies were sent, this being the state of the last one.
     *
     * @param earlier state over all earlier copies
     */
    public RunState afterEarlierCopies(RunState earlier) {
        return this == NOT_RUN ? earlier : this;
    }

    /** Returns the value of the {@code Daisyhoist-Run} header. */
    public String label() {
        return label;
    }
}
