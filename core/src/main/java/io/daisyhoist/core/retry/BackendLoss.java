package io.daisyhoist.core.retry;

import java.util.Set;

/**
 * Loss of one run of a backend server, with the requests that were in flight on it. Immutable.
 *
 * @param backend name of the daemon beside the backend server
 * @param incarnation the run of the backend server that was lost
 * @param inFlight all requests that may have been executing; a request counts until its response has arrived or its
 *     cancellation is confirmed
 */
public record BackendLoss(String backend, long incarnation, Set<Fingerprint> inFlight) {
    /** Copies the set. */
    public BackendLoss {
        inFlight = Set.copyOf(inFlight);
    }
}
