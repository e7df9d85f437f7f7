package io.daisyhoist.testkit.backend;

import java.util.ArrayList;
import java.util.List;

/**
 * Executions in the order of their starts. Not cleared by simulated crashes, which it must record. Thread-safe.
 */
public final class ExecutionLog {
    /** Bounds the memory use; more executions are an error of the caller. */
    private static final int MAX_ENTRIES = 400_000;

    private final List<Execution> entries = new ArrayList<>();

    synchronized int append(Execution execution) {
        if (entries.size() >= MAX_ENTRIES) {
            throw new IllegalStateException("execution log is full: " + MAX_ENTRIES);
        }
        entries.add(execution);
        return entries.size() - 1;
    }

    synchronized void markEnded(int index, Execution.End end, long atMicros) {
        entries.set(index, entries.get(index).withEnd(end, atMicros));
    }

    synchronized long nextNumber() {
        return entries.size() + 1L;
    }

    /** Returns a copy of the entries from an index on. */
    public synchronized List<Execution> entriesSince(int index) {
        return List.copyOf(entries.subList(Math.min(Math.max(index, 0), entries.size()), entries.size()));
    }
}
