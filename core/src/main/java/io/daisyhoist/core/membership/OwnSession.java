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
import io.daisyhoist.core.lease.SessionLease;
import io.daisyhoist.core.lease.WitnessLedger;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.SessionId;
import io.daisyhoist.core.time.ElapsedTimer;

/**
 * Own session, its lease and its heartbeats.
 *
 * <p>Invariant: a session that was given up or removed from the record is never used again, and each attempt to join
 * uses a new session number, because an earlier attempt may still take effect. Not thread-safe.
 */
final class OwnSession {
    private static final Duration RETRY_NOT_LISTED = Duration.ofMillis(150);
    /** Three heartbeats in a row lost, and as many again, before a witness is replaced that is not needed at once. */
    private static final int UNRESPONSIVE_TTLS = 2;
    /** One heartbeat interval and a lost acknowledgement. */
    private static final Duration HEARD_WITHIN = Duration.ofMillis(1500);

    private final ControlContext context;
    private final GroupView view;
    private final WitnessLedger ledger;
    private final Map<ProcessId, Long> nextHeartbeatNanos = new HashMap<>();
    private final Map<ProcessId, Long> ackedNanos = new HashMap<>();
    private final Set<ProcessId> fencedBy = new HashSet<>();
    private Optional<SessionLease> lease = Optional.empty();
    private int lastNumber;
    private int givenUpNumber;
    private long invalidSinceNanos;

    OwnSession(ControlContext context, GroupView view, WitnessLedger ledger) {
        this.context = context;
        this.view = view;
        this.ledger = ledger;
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

    /** Returns how long the lease has not been valid, zero while it is. */
    Duration invalidFor() {
        return hasValidLease() ? Duration.ZERO : Duration.ofNanos(context.time().monotonicNanos() - invalidSinceNanos);
    }

    /** Returns the witnesses that have fenced the present session. */
    Set<ProcessId> fencedBy() {
        return Set.copyOf(fencedBy);
    }

    /** Returns a session that has never been proposed. */
    SessionId newSession() {
        lastNumber++;
        ProcessId process = context.profile().process();
        return new SessionId(process.daemon(), process.incarnation(), lastNumber);
    }

    /** Stops using the present session for good. */
    void giveUp() {
        lease.ifPresent(held -> givenUpNumber = held.session().number());
        lease = Optional.empty();
        fencedBy.clear();
        nextHeartbeatNanos.clear();
        ackedNanos.clear();
    }

    /** Returns whether an entry is a session of this process that it does not use any more. */
    boolean isGivenUp(SessionId session) {
        return session.process().equals(context.profile().process()) && session.number() <= givenUpNumber;
    }

    /** Follows the record; returns whether the present session ended or another one began. */
    boolean onRecord(boolean changeSettled) {
        Optional<Member> listed = view.ownEntry()
                .filter(member ->
                        member.session().process().equals(context.profile().process()));
        boolean ended = lease.isPresent() && !listed.map(Member::session).equals(lease.map(SessionLease::session));
        if (ended) {
            giveUp();
        }
        Optional<Member> usable = listed.filter(member -> !isGivenUp(member.session()));
        boolean began = lease.isEmpty() && usable.isPresent();
        if (began) {
            begin(usable.get().session());
        }
        lease.ifPresent(held -> {
            held.setWitnesses(usable.orElseThrow().witnesses());
            if (changeSettled) {
                held.finishChange();
            }
        });
        return ended || began;
    }

    void onTick() {
        if (hasValidLease()) {
            invalidSinceNanos = context.time().monotonicNanos();
        }
        lease.ifPresent(this::sendHeartbeats);
    }

    void onAck(SessionId session, ProcessId witness, ElapsedTimer sentAt, HeartbeatOutcome outcome) {
        if (lease.isEmpty() || !lease.get().session().equals(session)) {
            return;
        }
        switch (outcome) {
            case ACKNOWLEDGED:
                ackedNanos.put(witness, context.time().monotonicNanos());
                lease.get().acknowledge(witness, sentAt);
                break;
            case FENCED:
                fencedBy.add(witness);
                break;
            default:
                nextHeartbeatNanos.merge(witness, context.nanosAfter(RETRY_NOT_LISTED), Math::min);
                break;
        }
    }

    /** Returns whether a witness has not acknowledged for so long that it should be replaced. */
    boolean isUnresponsive(ProcessId witness) {
        Long since = ackedNanos.get(witness);
        int ttls = hasValidLease() ? UNRESPONSIVE_TTLS : 1;
        return since != null && context.isDue(since + context.settings().ttl().toNanos() * ttls);
    }

    /** Returns whether a listed witness that has not fenced the session has acknowledged a recent heartbeat. */
    boolean hearsWitness() {
        return lease.stream()
                .flatMap(held -> listedWitnesses().stream()
                        .filter(witness -> !fencedBy.contains(witness))
                        .filter(witness -> !witness.equals(context.profile().process()))
                        .flatMap(witness -> held.latestSend(witness).stream()))
                .anyMatch(sentAt -> sentAt.elapsed(context.time()).compareTo(HEARD_WITHIN) < 0);
    }

    private void begin(SessionId session) {
        lease = Optional.of(new SessionLease(session, context.settings()));
        lastNumber = Math.max(lastNumber, session.number());
        invalidSinceNanos = context.time().monotonicNanos();
    }

    private void sendHeartbeats(SessionLease held) {
        List<ProcessId> targets = held.targets();
        nextHeartbeatNanos.keySet().retainAll(targets);
        ackedNanos.keySet().retainAll(targets);
        for (ProcessId target : targets) {
            ackedNanos.putIfAbsent(target, context.time().monotonicNanos());
            if (context.isDue(nextHeartbeatNanos.getOrDefault(target, Long.MIN_VALUE / 2))) {
                nextHeartbeatNanos.put(
                        target, context.nanosAfter(context.settings().heartbeatInterval()));
                sendHeartbeat(held.session(), target);
            }
        }
    }

    private void sendHeartbeat(SessionId session, ProcessId target) {
        ElapsedTimer sentAt = ElapsedTimer.start(context.time());
        if (target.equals(context.profile().process())) {
            onAck(session, target, sentAt, ledger.heartbeat(session));
            return;
        }
        view.endpoint(target)
                .ifPresent(peer -> context.emit(new GroupAction.SendHeartbeat(target, peer, session, sentAt)));
    }

    /** Returns the witnesses listed for the present session. */
    List<ProcessId> listedWitnesses() {
        return current()
                .flatMap(session -> view.record().member(session))
                .map(Member::witnesses)
                .orElse(List.of());
    }
}
