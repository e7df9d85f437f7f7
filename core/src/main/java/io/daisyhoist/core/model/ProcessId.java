package io.daisyhoist.core.model;

/**
 * Identifier of one process of a daemon; a restart results in another incarnation. Immutable.
 *
 * @param daemon the daemon
 * @param incarnation random number generated at process start
 */
public record ProcessId(DaemonId daemon, long incarnation) {
    @Override
    public String toString() {
        return daemon + "#" + Long.toHexString(incarnation);
    }
}
