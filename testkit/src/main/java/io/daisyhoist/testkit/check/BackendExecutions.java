package io.daisyhoist.testkit.check;

import java.util.List;

import io.daisyhoist.testkit.backend.Execution;

/**
 * Executions of one backend server. Immutable.
 *
 * @param backendName name of the backend server, which has one daemon
 * @param executions its executions
 */
public record BackendExecutions(String backendName, List<Execution> executions) {
    /** Copies the list. */
    public BackendExecutions {
        executions = List.copyOf(executions);
    }
}
