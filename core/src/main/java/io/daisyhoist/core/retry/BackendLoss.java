package io.daisyhoist.core.retry;

import java.util.Set;

/**
 * Loss of a backend server process, with the requests that were in flight. Immutable.
 *
 * @param backend name of the daemon of the backend server
 * @param incarnation incarnation of the lost backend server process
 * @param inFlight fingerprints of all requests that may have been running, that is, until their response has arrived or
 *     their cancellation is confirmed
 */
public record BackendLoss(String backend, long incarnation, Set<Fingerprint> inFlight) {
    public BackendLoss {
        inFlight = Set.copyOf(inFlight);
    }
}
