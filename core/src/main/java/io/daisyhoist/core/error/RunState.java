package io.daisyhoist.core.error;

/** Whether a backend server ran a request, as far as is known. */
public enum RunState {
    /** The request ran to completion. */
    RAN("ran"),
    /** The request certainly did not run. */
    NOT_RUN("not-run"),
    /** The request may have run completely or partially. */
    UNKNOWN("unknown");

    private final String label;

    RunState(String label) {
        this.label = label;
    }

    /**
     * Combines the state of the last copy of a request, which is this state, with the state of the copies sent before.
     *
     * @param earlier combined state of all earlier copies
     */
    public RunState combineWithEarlierCopies(RunState earlier) {
        return this == NOT_RUN ? earlier : this;
    }

    /** Returns the value of the {@code Daisyhoist-Run} header. */
    public String label() {
        return label;
    }
}
