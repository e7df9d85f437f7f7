package io.daisyhoist.core.admission;

import java.time.Duration;

import io.daisyhoist.core.time.TimeSource;

/**
 * Limit that starts at the cold limit, grows with successes and shrinks on slow responses and sheds.
 *
 * <p>Invariants: 1 &lt;= limit &lt;= slots; after a restart, a refused or broken connection or a jump of the latency, the
 * limit is at most the cold limit, and it grows by at most one per {@code limit} successes of requests that were admitted
 * afterwards. Until it has reached the slots it also grows by at most one per {@link #COLD_STEP}. Slow responses lower it
 * to the cold limit at most, sheds to 1. Confined to one thread.
 */
public final class AdaptiveLimit implements ConcurrencyLimit {
    /**
     * Without it a backend server that answers in 6 ms would be at 9 slots within about 0.1 s of its start. A process that
     * loads code and fills caches takes seconds; 2 to 9 slots now take at least 1.4 s.
     */
    static final Duration COLD_STEP = Duration.ofMillis(200);

    /** With exponential service times, five in a row by chance happen about once in 30 million responses. */
    private static final int JUMPS_OF_COLD_START = 5;

    private final TimeSource time;
    private final int coldLimit;
    private final int slots;
    private final LatencyBaseline baseline = new LatencyBaseline();

    private int limit;
    private int successes;
    private boolean cold = true;
    private long lastDecreaseNanos;
    private long lastColdStartNanos;
    private long lastChangeNanos;
    private int jumps;

    /**
     * Creates a limit for a backend server that is assumed to be in a cold start.
     *
     * @param coldLimit requests at once during a cold start, at least 1
     * @param slots requests at once when warm, at least the cold limit
     */
    public AdaptiveLimit(TimeSource time, int coldLimit, int slots) {
        if (coldLimit < 1 || slots < coldLimit) {
            throw new IllegalArgumentException("need 1 <= coldLimit <= slots: " + coldLimit + ", " + slots);
        }
        this.time = time;
        this.coldLimit = coldLimit;
        this.slots = slots;
        this.limit = coldLimit;
        this.lastDecreaseNanos = time.monotonicNanos();
        this.lastColdStartNanos = lastDecreaseNanos;
        this.lastChangeNanos = lastDecreaseNanos;
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
        jumps = startNanos - lastColdStartNanos >= 0 && baseline.isJump(latency) ? jumps + 1 : 0;
        if (jumps >= JUMPS_OF_COLD_START) {
            enterColdStart();
        } else if (startNanos - lastDecreaseNanos >= 0) {
            onCurrentLatency(startNanos, latency, outcome);
        }
    }

    private void onCurrentLatency(long startNanos, Duration latency, Outcome outcome) {
        baseline.add(latency);
        if (baseline.isSlow() || outcome == Outcome.TIMED_OUT) {
            halve(startNanos, coldLimit);
        } else if (baseline.isFast(latency)) {
            grow();
        }
    }

    private void grow() {
        successes++;
        long now = time.monotonicNanos();
        if (successes < limit || cold && now - lastChangeNanos < COLD_STEP.toNanos()) {
            return;
        }
        successes = 0;
        lastChangeNanos = now;
        limit = Math.min(slots, limit + 1);
        cold = cold && limit < slots;
    }

    private void halve(long startNanos, int floor) {
        // Requests admitted before the last decrease reflect the old limit, so they do not halve it again.
        if (startNanos - lastDecreaseNanos < 0) {
            return;
        }
        int lowered = Math.max(floor, limit / 2);
        if (lowered < limit) {
            limit = lowered;
            decreased();
        }
    }

    private void enterColdStart() {
        limit = Math.min(limit, coldLimit);
        cold = true;
        jumps = 0;
        decreased();
        lastColdStartNanos = lastDecreaseNanos;
    }

    private void decreased() {
        successes = 0;
        lastDecreaseNanos = time.monotonicNanos();
        lastChangeNanos = lastDecreaseNanos;
        baseline.restartWindow();
    }
}
