package io.daisyhoist.core.admission;

import java.time.Duration;
import java.util.Collection;

import io.daisyhoist.core.time.TimeSource;

/**
 * Adaptive concurrency limit that starts at the cold limit, increases with successes and decreases on slow responses
 * and shed requests.
 *
 * <p>Invariants: 1 &lt;= limit &lt;= slots. After a restart, a refused or lost connection or a latency spike, the limit
 * is at most the cold limit and increases by at most one per {@code limit} successes of requests admitted afterwards.
 * Until it has reached the slots, it also increases by at most one per {@link #COLD_GROWTH_INTERVAL}, and only on
 * responses that are not slower than at the lower limit. Slow responses decrease it to no less than the cold limit,
 * shed requests to no less than 1. Confined to one thread.
 */
public final class AdaptiveLimit implements ConcurrencyLimit {
    /**
     * Minimum time between two increases during a cold start. Without it, a backend server with a latency of 6 ms would
     * reach 9 slots within about 0.1 s of its start, but loading code and filling caches takes seconds; with it, 2 to 9
     * slots take at least 2.8 s. With 200 ms, a simulated server with a warm-up of 2 s and no known usual latency
     * failed in 1 of 8 seeds, with 400 ms in none.
     */
    static final Duration COLD_GROWTH_INTERVAL = Duration.ofMillis(400);

    /**
     * A cold start this soon after another, at an increased limit, means that the limit grew too fast: the interval
     * doubles.
     */
    private static final Duration RECURRENCE_WINDOW = Duration.ofSeconds(30);

    private static final Duration MAX_COLD_GROWTH_INTERVAL = COLD_GROWTH_INTERVAL.multipliedBy(16);

    /**
     * Consecutive latency spikes, of responses or requests in flight, that indicate a cold start. With exponentially
     * distributed service times, five in a row occur by chance about once in 30 million responses.
     */
    private static final int SPIKES_BEFORE_COLD_START = 5;

    private final TimeSource time;
    private final LatencyBaseline baseline;

    private int coldLimit;
    private int slots;
    private int limit;
    private int successes;
    private Duration coldGrowthInterval = COLD_GROWTH_INTERVAL;
    private boolean cold = true;
    private long observationStartNanos;
    private long lastColdStartNanos;
    private long lastChangeNanos;
    private long lastNormalResponseNanos;
    private int consecutiveSpikes;

    /**
     * Creates a limit for a backend server in a cold start, without a known latency.
     *
     * @param coldLimit concurrency limit during a cold start, at least 1
     * @param slots concurrency limit when warm, at least the cold limit
     */
    public AdaptiveLimit(TimeSource time, int coldLimit, int slots) {
        this(time, coldLimit, slots, Duration.ZERO);
    }

    /**
     * Creates a limit for a backend server in a cold start, with the usual latency of its service.
     *
     * @param usualLatency latency of a warm backend server of this service; zero if unknown. For a server that starts
     *     together with its daemon, only the cold latency can be observed, which cannot be distinguished from the usual
     *     one.
     */
    public AdaptiveLimit(TimeSource time, int coldLimit, int slots, Duration usualLatency) {
        requireOrdered(coldLimit, slots);
        this.time = time;
        this.coldLimit = coldLimit;
        this.slots = slots;
        this.baseline = new LatencyBaseline(usualLatency);
        this.limit = coldLimit;
        this.observationStartNanos = time.monotonicNanos();
        this.lastColdStartNanos = observationStartNanos;
        this.lastChangeNanos = observationStartNanos;
        this.lastNormalResponseNanos = observationStartNanos;
    }

    @Override
    public int limit() {
        return limit;
    }

    @Override
    public boolean isCold() {
        return cold;
    }

    @Override
    public void onRestart() {
        enterColdStart();
    }

    @Override
    public void onSettings(int newColdLimit, int newSlots) {
        requireOrdered(newColdLimit, newSlots);
        coldLimit = newColdLimit;
        slots = newSlots;
        limit = Math.min(limit, slots);
    }

    private static void requireOrdered(int coldLimit, int slots) {
        if (coldLimit < 1 || slots < coldLimit) {
            throw new IllegalArgumentException("need 1 <= coldLimit <= slots: " + coldLimit + ", " + slots);
        }
    }

    @Override
    public void onInFlight(Collection<Permit> inFlight) {
        long now = time.monotonicNanos();
        if (inFlight.size() + consecutiveSpikes < SPIKES_BEFORE_COLD_START
                || !baseline.isSpike(Duration.ofNanos(now - lastNormalResponseNanos))) {
            return;
        }
        long overdue = inFlight.stream()
                .filter(permit -> permit.startNanos() - lastColdStartNanos >= 0)
                .filter(permit -> baseline.isSpike(Duration.ofNanos(now - permit.startNanos())))
                .count();
        if (consecutiveSpikes + overdue >= SPIKES_BEFORE_COLD_START) {
            enterColdStart();
        }
    }

    @Override
    public void onCompletion(long startNanos, Duration latency, Outcome outcome) {
        if (outcome == Outcome.CONNECTION_REFUSED || outcome == Outcome.LOST) {
            enterColdStart();
        } else if (outcome == Outcome.SHED) {
            halve(startNanos, 1);
        } else if (outcome != Outcome.CANCELLED) {
            onLatency(startNanos, latency, outcome);
        }
    }

    private void onLatency(long startNanos, Duration latency, Outcome outcome) {
        // Spikes are counted separately from the median, which already halves the limit at the third slow response.
        if (!baseline.isSpike(latency)) {
            consecutiveSpikes = 0;
            lastNormalResponseNanos = time.monotonicNanos();
        } else if (startNanos - lastColdStartNanos >= 0) {
            consecutiveSpikes++;
        }
        if (consecutiveSpikes >= SPIKES_BEFORE_COLD_START) {
            enterColdStart();
        } else if (startNanos - observationStartNanos >= 0) {
            onObservedLatency(startNanos, latency, outcome);
        }
    }

    private void onObservedLatency(long startNanos, Duration latency, Outcome outcome) {
        baseline.add(latency);
        if (baseline.isSlow() || outcome == Outcome.TIMED_OUT) {
            halve(startNanos, coldLimit);
        } else {
            successes++;
            grow();
        }
    }

    private void grow() {
        long now = time.monotonicNanos();
        boolean tooEarly = successes < limit || cold && now - lastChangeNanos < coldGrowthInterval.toNanos();
        if (limit == slots || tooEarly || !baseline.isFast()) {
            return;
        }
        limit++;
        successes = 0;
        lastChangeNanos = now;
        if (cold) {
            // The next increase depends only on responses to requests that ran at the new limit.
            observationStartNanos = now;
            baseline.restartWindow();
        }
        cold = cold && limit < slots;
    }

    private void halve(long startNanos, int floor) {
        // Requests admitted before the last change ran at the old limit, so they do not halve the limit again.
        if (startNanos - observationStartNanos < 0) {
            return;
        }
        int decreased = Math.max(floor, limit / 2);
        if (decreased < limit) {
            limit = decreased;
            restartObservation();
        }
    }

    private void enterColdStart() {
        long now = time.monotonicNanos();
        boolean recurred = now - lastColdStartNanos < RECURRENCE_WINDOW.toNanos();
        if (!recurred) {
            coldGrowthInterval = COLD_GROWTH_INTERVAL;
        } else if (limit > coldLimit && coldGrowthInterval.compareTo(MAX_COLD_GROWTH_INTERVAL) < 0) {
            coldGrowthInterval = coldGrowthInterval.multipliedBy(2);
        }
        limit = Math.min(limit, coldLimit);
        cold = true;
        consecutiveSpikes = 0;
        restartObservation();
        lastColdStartNanos = observationStartNanos;
    }

    private void restartObservation() {
        successes = 0;
        observationStartNanos = time.monotonicNanos();
        lastChangeNanos = observationStartNanos;
        baseline.restartWindow();
    }
}
