package io.daisyhoist.testkit.backend;

import java.util.ArrayList;
import java.util.List;

/**
 * Runs in the order of their starts. Survives crashes of the simulated server because it observes them. Thread-safe.
 */
public final class ExecutionLog {
    /** Bounds the memory of the process; more runs than this are a fault of the caller. */
    private static final int MAX_ENTRIES = 400_000;

    private final List<Execution> entries = new ArrayList<>();

    synchronized int begin(Execution execution) {
        if (entries.size() >= MAX_ENTRIES) {
            throw new IllegalStateException("execution log is full: " + MAX_ENTRIES);
        }
        entries.add(execution);
        return entries.size() - 1;
    }

    synchronized void end(int index, Execution.End how, long atMicros) {
        entries.set(index, entries.get(index).ended(how, atMicros));
    }

    synchronized long nextNumber() {
        return entries.size() + 1L;
    }

    /** Returns a copy of the entries from a position on. */
    public synchronized List<Execution> since(int index) {
        return List.copyOf(entries.subList(Math.min(Math.max(index, 0), entries.size()), entries.size()));
    }
}
