package io.daisyhoist.core.admission;

import java.time.Duration;

import io.daisyhoist.core.time.TimeSource;

/**
 * Limit that starts at the cold limit, grows with successes and shrinks on slow responses and sheds.
 *
 * <p>Invariants: 1 &lt;= limit &lt;= slots; after a restart, a refused or broken connection, the limit is at most the cold
 * limit and grows by at most one per {@code limit} successes of requests that were admitted after it. Confined to one
 * thread.
 */
public final class AdaptiveLimit implements ConcurrencyLimit {
    private final TimeSource time;
    private final int coldLimit;
    private final int slots;
    private final LatencyBaseline baseline = new LatencyBaseline();

    private int limit;
    private int successes;
    private boolean cold = true;
    private long lastDecreaseNanos;

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
            halve(startNanos);
        } else if (outcome != Outcome.CANCELLED) {
            onLatency(startNanos, latency, outcome);
        }
    }

    private void onLatency(long startNanos, Duration latency, Outcome outcome) {
        if (startNanos - lastDecreaseNanos < 0) {
            return;
        }
        baseline.add(latency);
        if (baseline.isJump()) {
            enterColdStart();
        } else if (baseline.isSlow() || outcome == Outcome.TIMED_OUT) {
            halve(startNanos);
        } else {
            grow();
        }
    }

    private void grow() {
        successes++;
        if (successes < limit) {
            return;
        }
        successes = 0;
        limit = Math.min(slots, limit + 1);
        cold = cold && limit < slots;
    }

    private void halve(long startNanos) {
        // Requests admitted before the last decrease reflect the old limit, so they do not halve it again.
        if (startNanos - lastDecreaseNanos < 0) {
            return;
        }
        limit = Math.max(1, limit / 2);
        decreased();
    }

    private void enterColdStart() {
        limit = Math.min(limit, coldLimit);
        cold = true;
        decreased();
    }

    private void decreased() {
        successes = 0;
        lastDecreaseNanos = time.monotonicNanos();
        baseline.restartWindow();
    }
}
