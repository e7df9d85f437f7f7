package io.daisyhoist.core.lease;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.daisyhoist.core.model.SessionId;
import io.daisyhoist.core.time.TimeSource;

/**
 * Witness side: promises to sessions and sessions fenced for good.
 *
 * <p>Invariants: a session is fenced only after the promise to it has run out on this process's monotonic clock; a
 * fenced session is never acknowledged again. Memory is bounded by the listed sessions: only listed sessions are
 * acknowledged or fenced, and a session that a later record no longer lists is never listed again, so its entry can be
 * dropped. Not thread-safe.
 */
public final class WitnessLedger {
    private final Duration ttl;
    private final TimeSource time;
    private final Map<SessionId, Long> promisedUntilNanos = new HashMap<>();
    private final Map<SessionId, Long> listedSinceNanos = new HashMap<>();
    private final Set<SessionId> fenced = new HashSet<>();

    public WitnessLedger(Duration ttl, TimeSource time) {
        this.ttl = ttl;
        this.time = time;
    }

    /** Takes over the sessions of a later record; the caller never goes back to an earlier record. */
    public void setListed(Set<SessionId> sessions) {
        listedSinceNanos.keySet().retainAll(sessions);
        promisedUntilNanos.keySet().retainAll(sessions);
        fenced.retainAll(sessions);
        sessions.forEach(session -> listedSinceNanos.putIfAbsent(session, time.monotonicNanos()));
    }

    /** Answers a heartbeat; an acknowledgement is a promise for one ttl from now. */
    public HeartbeatOutcome heartbeat(SessionId session) {
        if (fenced.contains(session)) {
            return HeartbeatOutcome.FENCED;
        }
        if (!listedSinceNanos.containsKey(session)) {
            return HeartbeatOutcome.NOT_A_WITNESS;
        }
        promisedUntilNanos.put(session, time.monotonicNanos() + ttl.toNanos());
        return HeartbeatOutcome.ACKNOWLEDGED;
    }

    /** Fences a session for good unless a promise to it still runs. */
    public FenceOutcome fence(SessionId session) {
        if (!listedSinceNanos.containsKey(session)) {
            return FenceOutcome.NOT_A_WITNESS;
        }
        Duration remaining = promiseRemaining(session);
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
     * Returns how long a listed session has been silent past its promise; a session that has sent nothing counts as
     * promised when it was first listed. Zero for a session that is not suspect.
     */
    public Duration silentFor(SessionId session) {
        Long listedSince = listedSinceNanos.get(session);
        if (listedSince == null) {
            return Duration.ZERO;
        }
        long due = promisedUntilNanos.getOrDefault(session, listedSince + ttl.toNanos());
        return Duration.ofNanos(Math.max(0, time.monotonicNanos() - due));
    }

    private Duration promiseRemaining(SessionId session) {
        Long until = promisedUntilNanos.get(session);
        return until == null ? Duration.ZERO : Duration.ofNanos(Math.max(0, until - time.monotonicNanos()));
    }
}
