package io.daisyhoist.core.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.daisyhoist.core.lease.HeartbeatOutcome;
import io.daisyhoist.core.lease.LeaseSnapshot;
import io.daisyhoist.core.lease.LeaseWitness;
import io.daisyhoist.core.lease.SessionLease;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.SessionId;
import io.daisyhoist.core.time.ElapsedTimer;

/**
 * Session of the local daemon with its lease and heartbeats.
 *
 * <p>Invariant: a session that was abandoned or removed from the record is never used again, and each attempt to join
 * uses a new session number, because an earlier attempt may still take effect. Not thread-safe.
 */
final class LocalSession {
    private static final Duration NOT_LISTED_RETRY_DELAY = Duration.ofMillis(150);
    /**
     * TTLs without an acknowledgement after which a witness is replaced while the lease is valid. One TTL is three lost
     * heartbeats; with a valid lease the replacement is not urgent and waits as long again.
     */
    private static final int UNRESPONSIVE_TTLS = 2;
    /** Covers one heartbeat interval and one lost acknowledgement. */
    private static final Duration RECENT_ACK_WINDOW = Duration.ofMillis(1500);

    private final ControllerContext context;
    private final GroupView view;
    private final LeaseWitness leaseWitness;
    private final Map<ProcessId, Long> nextHeartbeatNanos = new HashMap<>();
    private final Map<ProcessId, Long> lastAckNanos = new HashMap<>();
    private final Set<ProcessId> fencedBy = new HashSet<>();
    private Optional<SessionLease> lease = Optional.empty();
    private int lastNumber;
    private int lastAbandonedNumber;
    private long leaseInvalidSinceNanos;

    LocalSession(ControllerContext context, GroupView view, LeaseWitness leaseWitness) {
        this.context = context;
        this.view = view;
        this.leaseWitness = leaseWitness;
    }

    Optional<SessionId> current() {
        return lease.map(SessionLease::session);
    }

    Optional<SessionLease> lease() {
        return lease;
    }

    LeaseSnapshot snapshot() {
        return lease.map(SessionLease::snapshot).orElse(LeaseSnapshot.NONE);
    }

    boolean hasValidLease() {
        return snapshot().isValid(context.time());
    }

    /** Returns how long the lease has been invalid; zero while it is valid. */
    Duration leaseInvalidDuration() {
        return hasValidLease()
                ? Duration.ZERO
                : Duration.ofNanos(context.time().monotonicNanos() - leaseInvalidSinceNanos);
    }

    /** Returns the witnesses that have fenced the current session. */
    Set<ProcessId> fencedBy() {
        return Set.copyOf(fencedBy);
    }

    /** Returns a session that has never been proposed. */
    SessionId newSession() {
        lastNumber++;
        ProcessId process = context.profile().process();
        return new SessionId(process.daemon(), process.incarnation(), lastNumber);
    }

    /** Stops using the current session permanently. */
    void abandon() {
        lease.ifPresent(
                currentLease -> lastAbandonedNumber = currentLease.session().number());
        lease = Optional.empty();
        fencedBy.clear();
        nextHeartbeatNanos.clear();
        lastAckNanos.clear();
    }

    /** Returns whether a session belongs to this process and is no longer used. */
    boolean isAbandoned(SessionId session) {
        return session.process().equals(context.profile().process()) && session.number() <= lastAbandonedNumber;
    }

    /** Applies the latest record; returns whether the current session ended or another one started. */
    boolean onRecord(boolean noPendingChange) {
        Optional<Member> listed = view.localMember()
                .filter(member ->
                        member.session().process().equals(context.profile().process()));
        boolean ended = lease.isPresent() && !listed.map(Member::session).equals(lease.map(SessionLease::session));
        if (ended) {
            abandon();
        }
        Optional<Member> usable = listed.filter(member -> !isAbandoned(member.session()));
        boolean started = lease.isEmpty() && usable.isPresent();
        if (started) {
            startSession(usable.get().session());
        }
        lease.ifPresent(currentLease -> {
            currentLease.setWitnesses(usable.orElseThrow().witnesses());
            if (noPendingChange) {
                currentLease.finishChange();
            }
        });
        return ended || started;
    }

    void onTick() {
        if (hasValidLease()) {
            leaseInvalidSinceNanos = context.time().monotonicNanos();
        }
        lease.ifPresent(this::sendHeartbeats);
    }

    void onAck(SessionId session, ProcessId witness, ElapsedTimer sentAt, HeartbeatOutcome outcome) {
        if (lease.isEmpty() || !lease.get().session().equals(session)) {
            return;
        }
        switch (outcome) {
            case ACKNOWLEDGED:
                lastAckNanos.put(witness, context.time().monotonicNanos());
                lease.get().acknowledge(witness, sentAt);
                break;
            case FENCED:
                fencedBy.add(witness);
                break;
            default:
                nextHeartbeatNanos.merge(witness, context.nanosAfter(NOT_LISTED_RETRY_DELAY), Math::min);
                break;
        }
    }

    /** Returns whether a witness has not acknowledged a heartbeat for so long that it should be replaced. */
    boolean isUnresponsive(ProcessId witness) {
        Long lastAck = lastAckNanos.get(witness);
        int ttls = hasValidLease() ? UNRESPONSIVE_TTLS : 1;
        return lastAck != null
                && context.isDue(lastAck + context.settings().ttl().toNanos() * ttls);
    }

    /** Returns whether a listed witness that has not fenced the session has acknowledged a recent heartbeat. */
    boolean hasRecentWitnessAck() {
        return lease.stream()
                .flatMap(currentLease -> listedWitnesses().stream()
                        .filter(witness -> !fencedBy.contains(witness))
                        .filter(witness -> !witness.equals(context.profile().process()))
                        .flatMap(witness -> currentLease.latestSend(witness).stream()))
                .anyMatch(sentAt -> sentAt.elapsed(context.time()).compareTo(RECENT_ACK_WINDOW) < 0);
    }

    private void startSession(SessionId session) {
        lease = Optional.of(new SessionLease(session, context.settings()));
        lastNumber = Math.max(lastNumber, session.number());
        leaseInvalidSinceNanos = context.time().monotonicNanos();
    }

    private void sendHeartbeats(SessionLease currentLease) {
        List<ProcessId> targets = currentLease.heartbeatTargets();
        nextHeartbeatNanos.keySet().retainAll(targets);
        lastAckNanos.keySet().retainAll(targets);
        for (ProcessId target : targets) {
            lastAckNanos.putIfAbsent(target, context.time().monotonicNanos());
            if (context.isDue(nextHeartbeatNanos.getOrDefault(target, Long.MIN_VALUE / 2))) {
                nextHeartbeatNanos.put(
                        target, context.nanosAfter(context.settings().heartbeatInterval()));
                sendHeartbeat(currentLease.session(), target);
            }
        }
    }

    private void sendHeartbeat(SessionId session, ProcessId target) {
        ElapsedTimer sentAt = ElapsedTimer.start(context.time());
        if (target.equals(context.profile().process())) {
            onAck(session, target, sentAt, leaseWitness.heartbeat(session));
            return;
        }
        view.endpoint(target)
                .ifPresent(peer -> context.emit(new GroupAction.SendHeartbeat(target, peer, session, sentAt)));
    }

    /** Returns the witnesses listed for the current session. */
    List<ProcessId> listedWitnesses() {
        return current()
                .flatMap(session -> view.record().member(session))
                .map(Member::witnesses)
                .orElse(List.of());
    }
}
