package io.daisyhoist.core.retry;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;

/**
 * Finds the request that crashes backend servers.
 *
 * <p>A request that was in flight during one loss runs only alone. It is refused after two losses if it was the only
 * request in flight during at least one of them: two losses that it shared with others do not tell it from an innocent
 * request. A loss, identified by backend server and incarnation, counts once however often it is reported. Entries
 * expire {@link #MEMORY} after the last new loss. Confined to one thread.
 */
public final class CrashSuspects {
    /** Time for which a suspicion is remembered. */
    public static final Duration MEMORY = Duration.ofMinutes(10);

    private static final int MAX_ENTRIES = 10_000;
    private static final int LOSSES_TO_REFUSE = 2;

    private final TimeSource time;
    private final Map<Fingerprint, Suspicion> suspicions = new LinkedHashMap<>();

    /** How a request may run. */
    public enum Verdict {
        RUN,
        RUN_ALONE,
        REFUSE
    }

    private record LossId(String backend, long incarnation) {}

    private static final class Suspicion {
        private final Map<LossId, BackendLoss> losses = new HashMap<>();
        private final Set<LossId> cleared = new HashSet<>();
        private ElapsedTimer since;
    }

    public CrashSuspects(TimeSource time) {
        this.time = time;
    }

    /** Returns how a request may run now. */
    public Verdict verdict(Fingerprint fingerprint) {
        dropExpired();
        Suspicion suspicion = suspicions.get(fingerprint);
        if (suspicion == null || suspicion.losses.isEmpty()) {
            return Verdict.RUN;
        }
        boolean lostAlone = suspicion.losses.values().stream()
                .anyMatch(loss -> loss.inFlight().size() == 1);
        boolean refused = lostAlone && suspicion.losses.size() >= LOSSES_TO_REFUSE;
        return refused ? Verdict.REFUSE : Verdict.RUN_ALONE;
    }

    /**
     * Learns of a loss, from this daemon or from another.
     *
     * @return whether it was new for at least one request, so that it is worth passing on
     */
    public boolean onLoss(BackendLoss loss) {
        dropExpired();
        boolean changed = false;
        for (Fingerprint fingerprint : loss.inFlight()) {
            changed |= add(fingerprint, loss);
        }
        return changed;
    }

    /** Learns that a request ran to its end; its past losses no longer count, even if they are reported again. */
    public void onGoodRun(Fingerprint fingerprint) {
        Suspicion suspicion = suspicions.get(fingerprint);
        if (suspicion != null) {
            suspicion.cleared.addAll(suspicion.losses.keySet());
            suspicion.losses.clear();
        }
    }

    private boolean add(Fingerprint fingerprint, BackendLoss loss) {
        LossId id = new LossId(loss.backend(), loss.incarnation());
        Suspicion suspicion = suspicions.computeIfAbsent(fingerprint, any -> new Suspicion());
        if (suspicion.cleared.contains(id) || suspicion.losses.putIfAbsent(id, loss) != null) {
            return false;
        }
        suspicion.since = ElapsedTimer.start(time);
        // Reinserting keeps the entries in the order of their last loss.
        suspicions.remove(fingerprint);
        suspicions.put(fingerprint, suspicion);
        return true;
    }

    private void dropExpired() {
        Iterator<Suspicion> oldestFirst = suspicions.values().iterator();
        while (oldestFirst.hasNext()) {
            boolean expired = oldestFirst.next().since.elapsed(time).compareTo(MEMORY) > 0;
            if (!expired && suspicions.size() <= MAX_ENTRIES) {
                return;
            }
            oldestFirst.remove();
        }
    }

    /**
     * Returns the losses that count against a request. A daemon sends them along with a retry, so that the receiver
     * learns of them before it runs the request even if the broadcast is late.
     */
    public Set<BackendLoss> evidence(Fingerprint fingerprint) {
        dropExpired();
        return Optional.ofNullable(suspicions.get(fingerprint))
                .map(suspicion -> Set.copyOf(suspicion.losses.values()))
                .orElse(Set.of());
    }
}
