package io.daisyhoist.testkit.check;

import java.util.List;

import io.daisyhoist.testkit.backend.Execution;

/**
 * Execution log of one backend server. Immutable.
 *
 * @param source name of the backend server; one daemon stands beside it
 * @param executions its runs
 */
public record RunLog(String source, List<Execution> executions) {
    /** Copies the list. */
    public RunLog {
        executions = List.copyOf(executions);
    }
}
