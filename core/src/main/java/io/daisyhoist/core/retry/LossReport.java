package io.daisyhoist.core.retry;

import java.util.Set;

/**
 * Loss of a backend server as one daemon knows it. Immutable.
 *
 * @param loss the loss, with all requests that were in flight
 * @param cleared those of the requests that have completed since, so that this loss does not count against them
 */
public record LossReport(BackendLoss loss, Set<Fingerprint> cleared) {
    public LossReport {
        cleared = Set.copyOf(cleared);
    }
}
