package io.daisyhoist.core.model;

/**
 * One run of a daemon's process; a restart gives another incarnation. Immutable.
 *
 * @param daemon the daemon
 * @param incarnation random number drawn at the start of the process
 */
public record ProcessId(DaemonId daemon, long incarnation) {
    @Override
    public String toString() {
        return daemon + "#" + Long.toHexString(incarnation);
    }
}
