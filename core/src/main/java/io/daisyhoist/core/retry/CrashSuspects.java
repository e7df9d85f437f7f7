package io.daisyhoist.core.retry;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

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
        private final Map<LossId, BackendLoss> clearedLosses = new HashMap<>();
        private ElapsedTimer lastNewLoss;

        private void clear(LossId id, BackendLoss loss) {
            countedLosses.remove(id);
            clearedLosses.put(id, loss);
        }
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

    /** Returns whether no request is known that was in flight during a loss. */
    public boolean isEmpty() {
        removeExpired();
        return suspicions.isEmpty();
    }

    /** Returns the number of losses that count against a request. */
    public int lossCount(Fingerprint fingerprint) {
        return lossesOf(fingerprint).size();
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

    /**
     * Records a loss as another daemon knows it.
     *
     * @return whether it was new, or no longer counts, for at least one request
     */
    public boolean onReport(LossReport report) {
        boolean changed = onLoss(report.loss());
        for (Fingerprint fingerprint : report.cleared()) {
            Suspicion suspicion = suspicions.get(fingerprint);
            if (suspicion != null && suspicion.countedLosses.containsKey(idOf(report.loss()))) {
                suspicion.clear(idOf(report.loss()), report.loss());
                changed = true;
            }
        }
        return changed;
    }

    /**
     * Records that a request completed; its earlier losses no longer count, even if they are reported again.
     *
     * @return the losses that counted against it until now
     */
    public Set<BackendLoss> onSuccess(Fingerprint fingerprint) {
        Suspicion suspicion = suspicions.get(fingerprint);
        if (suspicion == null) {
            return Set.of();
        }
        Map<LossId, BackendLoss> counted = Map.copyOf(suspicion.countedLosses);
        counted.forEach(suspicion::clear);
        return Set.copyOf(counted.values());
    }

    /** Returns reports of the latest losses, so that daemons that have missed or forgotten them learn of them. */
    public List<LossReport> reports(int maxReports) {
        removeExpired();
        Map<LossId, BackendLoss> losses = new LinkedHashMap<>();
        suspicions.values().forEach(suspicion -> {
            losses.putAll(suspicion.countedLosses);
            losses.putAll(suspicion.clearedLosses);
        });
        return losses.values().stream()
                .skip(Math.max(0, losses.size() - maxReports))
                .map(this::report)
                .toList();
    }

    /** Returns a loss with those of its requests against which it no longer counts. */
    public LossReport report(BackendLoss loss) {
        Set<Fingerprint> cleared = loss.inFlight().stream()
                .filter(fingerprint -> Optional.ofNullable(suspicions.get(fingerprint))
                        .filter(suspicion -> suspicion.clearedLosses.containsKey(idOf(loss)))
                        .isPresent())
                .collect(Collectors.toSet());
        return new LossReport(loss, cleared);
    }

    private static LossId idOf(BackendLoss loss) {
        return new LossId(loss.backend(), loss.incarnation());
    }

    private boolean add(Fingerprint fingerprint, BackendLoss loss) {
        LossId id = idOf(loss);
        Suspicion suspicion = suspicions.computeIfAbsent(fingerprint, any -> new Suspicion());
        if (suspicion.clearedLosses.containsKey(id) || suspicion.countedLosses.putIfAbsent(id, loss) != null) {
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
