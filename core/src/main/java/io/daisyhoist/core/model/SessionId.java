package io.daisyhoist.core.model;

/**
 * One tenure of a daemon as a member of its group.
 *
 * <p>The incarnation is fresh at each start of the process, so a process that returns after a pause cannot be mistaken
 * for its successor. The number rises each time the same process rejoins. Immutable.
 *
 * @param daemon the daemon
 * @param incarnation random number drawn at the start of the process
 * @param number count of joins by this process, from 1
 */
public record SessionId(DaemonId daemon, long incarnation, int number) {
    /** Returns the process to which this session belongs. */
    public ProcessId process() {
        return new ProcessId(daemon, incarnation);
    }

    /** Returns the session of the same process after a rejoin. */
    public SessionId next() {
        return new SessionId(daemon, incarnation, number + 1);
    }

    @Override
    public String toString() {
        return daemon + "#" + Long.toHexString(incarnation) + "." + number;
    }
}
