package io.daisyhoist.core.model;

/**
 * Identifier of one membership session of a daemon in its group.
 *
 * <p>Each process start generates a new incarnation, so a process that resumes after a pause cannot be mistaken for its
 * successor. The number increases each time the same process joins again. Immutable.
 *
 * @param daemon the daemon
 * @param incarnation random number generated at process start
 * @param number sequence number of the joins of this process, from 1
 */
public record SessionId(DaemonId daemon, long incarnation, int number) {
    /** Returns the process that owns this session. */
    public ProcessId process() {
        return new ProcessId(daemon, incarnation);
    }

    /** Returns the session that the same process uses when it joins again. */
    public SessionId next() {
        return new SessionId(daemon, incarnation, number + 1);
    }

    @Override
    public String toString() {
        return daemon + "#" + Long.toHexString(incarnation) + "." + number;
    }
}
