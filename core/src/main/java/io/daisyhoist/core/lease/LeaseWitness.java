package io.daisyhoist.core.lease;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.daisyhoist.core.model.SessionId;
import io.daisyhoist.core.time.TimeSource;

/**
 * State of a witness: unexpired promises to sessions and permanently fenced sessions.
 *
 * <p>Invariants: a session is fenced only after the promise to it has expired on this process's monotonic clock; a
 * fenced session is never acknowledged again. Memory is bounded by the number of listed sessions: only listed sessions
 * are acknowledged or fenced, and a session that a later group record no longer lists is never listed again, so its
 * entry can be removed. Not thread-safe.
 */
public final class LeaseWitness {
    private final Duration ttl;
    private final TimeSource time;
    private final Map<SessionId, Long> promiseExpiryNanos = new HashMap<>();
    private final Map<SessionId, Long> listedSinceNanos = new HashMap<>();
    private final Set<SessionId> fenced = new HashSet<>();

    public LeaseWitness(Duration ttl, TimeSource time) {
        this.ttl = ttl;
        this.time = time;
    }

    /** Sets the sessions listed by a later group record; the caller must never return to an earlier record. */
    public void setListedSessions(Set<SessionId> sessions) {
        listedSinceNanos.keySet().retainAll(sessions);
        promiseExpiryNanos.keySet().retainAll(sessions);
        fenced.retainAll(sessions);
        sessions.forEach(session -> listedSinceNanos.putIfAbsent(session, time.monotonicNanos()));
    }

    /** Handles a heartbeat; an acknowledgement promises not to fence the session for one TTL from now. */
    public HeartbeatOutcome heartbeat(SessionId session) {
        if (fenced.contains(session)) {
            return HeartbeatOutcome.FENCED;
        }
        if (!listedSinceNanos.containsKey(session)) {
            return HeartbeatOutcome.NOT_A_WITNESS;
        }
        promiseExpiryNanos.put(session, time.monotonicNanos() + ttl.toNanos());
        return HeartbeatOutcome.ACKNOWLEDGED;
    }

    /** Fences a session permanently unless a promise to it has not expired. */
    public FenceOutcome fence(SessionId session) {
        if (!listedSinceNanos.containsKey(session)) {
            return FenceOutcome.NOT_A_WITNESS;
        }
        Duration remaining = remainingPromise(session);
        if (!remaining.isZero()) {
            return FenceOutcome.promised(remaining);
        }
        fenced.add(session);
        return FenceOutcome.FENCED;
    }

    /** Returns whether this process has fenced a listed session. */
    public boolean isFenced(SessionId session) {
        return fenced.contains(session);
    }

    /**
     * Returns the time since the promise to a listed session expired; a session that has sent no heartbeat is treated
     * as promised when it was first listed. Zero if the promise has not expired or the session is not listed.
     */
    public Duration overdueTime(SessionId session) {
        Long listedSince = listedSinceNanos.get(session);
        if (listedSince == null) {
            return Duration.ZERO;
        }
        long expiryNanos = promiseExpiryNanos.getOrDefault(session, listedSince + ttl.toNanos());
        return Duration.ofNanos(Math.max(0, time.monotonicNanos() - expiryNanos));
    }

    private Duration remainingPromise(SessionId session) {
        Long expiryNanos = promiseExpiryNanos.get(session);
        return expiryNanos == null ? Duration.ZERO : Duration.ofNanos(Math.max(0, expiryNanos - time.monotonicNanos()));
    }
}
