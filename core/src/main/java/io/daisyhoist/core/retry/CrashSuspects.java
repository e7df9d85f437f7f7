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
 * Detects requests that crash backend servers.
 *
 * <p>A request that was in flight during a loss may run only exclusively. It is refused after two losses if it was the
 * only request in flight during at least one of them; two losses with other requests in flight do not prove that it is
 * the cause. A loss is identified by backend server and incarnation and counts once, even if it is reported repeatedly.
 * Entries expire {@link #SUSPICION_TTL} after the latest new loss. Confined to one thread.
 */
public final class CrashSuspects {
    /** Time from the latest new loss until the entry of a request expires. */
    public static final Duration SUSPICION_TTL = Duration.ofMinutes(10);

    private static final int MAX_ENTRIES = 10_000;
    private static final int LOSSES_TO_REFUSE = 2;

    private final TimeSource time;
    private final Map<Fingerprint, Suspicion> suspicions = new LinkedHashMap<>();

    /** How a request may run. */
    public enum Verdict {
        RUN,
        RUN_EXCLUSIVELY,
        REFUSE
    }

    private record LossId(String backend, long incarnation) {}

    private static final class Suspicion {
        private final Map<LossId, BackendLoss> countedLosses = new HashMap<>();
        private final Set<LossId> clearedLosses = new HashSet<>();
        private ElapsedTimer lastNewLoss;
    }

    public CrashSuspects(TimeSource time) {
        this.time = time;
    }

    /** Returns how a request may run now. */
    public Verdict verdict(Fingerprint fingerprint) {
        removeExpired();
        Suspicion suspicion = suspicions.get(fingerprint);
        if (suspicion == null || suspicion.countedLosses.isEmpty()) {
            return Verdict.RUN;
        }
        boolean wasOnlyRequest = suspicion.countedLosses.values().stream()
                .anyMatch(loss -> loss.inFlight().size() == 1);
        boolean refused = wasOnlyRequest && suspicion.countedLosses.size() >= LOSSES_TO_REFUSE;
        return refused ? Verdict.REFUSE : Verdict.RUN_EXCLUSIVELY;
    }

    /**
     * Records a loss, detected by this daemon or reported by another.
     *
     * @return whether the loss was new for at least one request and should be forwarded to other daemons
     */
    public boolean onLoss(BackendLoss loss) {
        removeExpired();
        boolean changed = false;
        for (Fingerprint fingerprint : loss.inFlight()) {
            changed |= add(fingerprint, loss);
        }
        return changed;
    }

    /** Records that a request completed; its earlier losses no longer count, even if they are reported again. */
    public void onSuccess(Fingerprint fingerprint) {
        Suspicion suspicion = suspicions.get(fingerprint);
        if (suspicion != null) {
            suspicion.clearedLosses.addAll(suspicion.countedLosses.keySet());
            suspicion.countedLosses.clear();
        }
    }

    private boolean add(Fingerprint fingerprint, BackendLoss loss) {
        LossId id = new LossId(loss.backend(), loss.incarnation());
        Suspicion suspicion = suspicions.computeIfAbsent(fingerprint, any -> new Suspicion());
        if (suspicion.clearedLosses.contains(id) || suspicion.countedLosses.putIfAbsent(id, loss) != null) {
            return false;
        }
        suspicion.lastNewLoss = ElapsedTimer.start(time);
        // Reinserting keeps the entries ordered by their latest loss.
        suspicions.remove(fingerprint);
        suspicions.put(fingerprint, suspicion);
        return true;
    }

    private void removeExpired() {
        Iterator<Suspicion> oldestFirst = suspicions.values().iterator();
        while (oldestFirst.hasNext()) {
            boolean expired = oldestFirst.next().lastNewLoss.elapsed(time).compareTo(SUSPICION_TTL) > 0;
            if (!expired && suspicions.size() <= MAX_ENTRIES) {
                return;
            }
            oldestFirst.remove();
        }
    }

    /**
     * Returns the losses that count against a request. A daemon sends them with a retry, so that the receiver knows
     * them before it runs the request even if the broadcast is delayed.
     */
    public Set<BackendLoss> lossesOf(Fingerprint fingerprint) {
        removeExpired();
        return Optional.ofNullable(suspicions.get(fingerprint))
                .map(suspicion -> Set.copyOf(suspicion.countedLosses.values()))
                .orElse(Set.of());
    }
}
