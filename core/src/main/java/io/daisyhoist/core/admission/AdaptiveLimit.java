package io.daisyhoist.core.admission;

import java.time.Duration;
import java.util.Collection;

import io.daisyhoist.core.time.TimeSource;

/**
 * Limit that starts at the cold limit, grows with successes and shrinks on slow responses and sheds.
 *
 * <p>Invariants: 1 &lt;= limit &lt;= slots; after a restart, a refused or broken connection or a jump of the latency, the
 * limit is at most the cold limit, and it grows by at most one per {@code limit} successes of requests that were admitted
 * afterwards. Until it has reached the slots it also grows by at most one per {@link #COLD_STEP}, and only on responses
 * that are not slower than at the lower limit. Slow responses lower it to the cold limit at most, sheds to 1. Confined to
 * one thread.
 */
public final class AdaptiveLimit implements ConcurrencyLimit {
    /**
     * Without it a backend server that answers in 6 ms would be at 9 slots within about 0.1 s of its start. A process that
     * loads code and fills caches takes seconds; 2 to 9 slots now take at least 2.8 s. In the model of the tests a server
     * that warms up in 2 s, with no known usual latency, failed in one of 8 seeds at 200 ms and in none at 400 ms.
     */
    static final Duration COLD_STEP = Duration.ofMillis(400);

    /** A cold start this soon after another, at a raised limit, means that the limit grew too fast: the step doubles. */
    private static final Duration RELAPSE = Duration.ofSeconds(30);

    private static final Duration MAX_COLD_STEP = COLD_STEP.multipliedBy(16);

    /**
     * Responses, or requests still in flight, that must be late with no usual response in between. With exponential
     * service times five in a row by chance happen about once in 30 million responses.
     */
    private static final int JUMPS_OF_COLD_START = 5;

    private final TimeSource time;
    private final LatencyBaseline baseline;

    private int coldLimit;
    private int slots;
    private int limit;
    private int successes;
    private Duration coldStep = COLD_STEP;
    private boolean cold = true;
    private long settledNanos;
    private long lastColdStartNanos;
    private long lastChangeNanos;
    private long lastUsualNanos;
    private int jumps;

    /**
     * Creates a limit for a backend server that is assumed to be in a cold start.
     *
     * @param coldLimit requests at once during a cold start, at least 1
     * @param slots requests at once when warm, at least the cold limit
     */
    public AdaptiveLimit(TimeSource time, int coldLimit, int slots) {
        this(time, coldLimit, slots, Duration.ZERO);
    }

    /**
     * Creates a limit for a backend server in a cold start whose service is known.
     *
     * @param usualLatency latency of a warm backend server of this service; zero when not known. A server that starts
     *     together with its daemon shows its cold latency only, which cannot be told from the usual one.
     */
    public AdaptiveLimit(TimeSource time, int coldLimit, int slots, Duration usualLatency) {
        requireOrdered(coldLimit, slots);
        this.time = time;
        this.coldLimit = coldLimit;
        this.slots = slots;
        this.baseline = new LatencyBaseline(usualLatency);
        this.limit = coldLimit;
        this.settledNanos = time.monotonicNanos();
        this.lastColdStartNanos = settledNanos;
        this.lastChangeNanos = settledNanos;
        this.lastUsualNanos = settledNanos;
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
    public void onInFlight(Collection<Permit> running) {
        long now = time.monotonicNanos();
        if (running.size() + jumps < JUMPS_OF_COLD_START || !baseline.isJump(Duration.ofNanos(now - lastUsualNanos))) {
            return;
        }
        long overdue = running.stream()
                .filter(permit -> permit.startNanos() - lastColdStartNanos >= 0)
                .filter(permit -> baseline.isJump(Duration.ofNanos(now - permit.startNanos())))
                .count();
        if (jumps + overdue >= JUMPS_OF_COLD_START) {
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
        // A jump is counted apart from the median, which already halves the limit at the third slow response.
        if (!baseline.isJump(latency)) {
            jumps = 0;
            lastUsualNanos = time.monotonicNanos();
        } else if (startNanos - lastColdStartNanos >= 0) {
            jumps++;
        }
        if (jumps >= JUMPS_OF_COLD_START) {
            enterColdStart();
        } else if (startNanos - settledNanos >= 0) {
            onCurrentLatency(startNanos, latency, outcome);
        }
    }

    private void onCurrentLatency(long startNanos, Duration latency, Outcome outcome) {
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
        boolean tooEarly = successes < limit || cold && now - lastChangeNanos < coldStep.toNanos();
        if (limit == slots || tooEarly || !baseline.isFast()) {
            return;
        }
        limit++;
        successes = 0;
        lastChangeNanos = now;
        if (cold) {
            // The next step is judged by responses to requests that ran at the new limit.
            settledNanos = now;
            baseline.restartWindow();
        }
        cold = cold && limit < slots;
    }

    private void halve(long startNanos, int floor) {
        // Requests admitted before the last change reflect the old limit, so they do not halve it again.
        if (startNanos - settledNanos < 0) {
            return;
        }
        int lowered = Math.max(floor, limit / 2);
        if (lowered < limit) {
            limit = lowered;
            decreased();
        }
    }

    private void enterColdStart() {
        long now = time.monotonicNanos();
        boolean shortly = now - lastColdStartNanos < RELAPSE.toNanos();
        if (!shortly) {
            coldStep = COLD_STEP;
        } else if (limit > coldLimit && coldStep.compareTo(MAX_COLD_STEP) < 0) {
            coldStep = coldStep.multipliedBy(2);
        }
        limit = Math.min(limit, coldLimit);
        cold = true;
        jumps = 0;
        decreased();
        lastColdStartNanos = settledNanos;
    }

    private void decreased() {
        successes = 0;
        settledNanos = time.monotonicNanos();
        lastChangeNanos = settledNanos;
        baseline.restartWindow();
    }
}
