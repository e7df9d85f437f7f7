package io.daisyhoist.core.retry;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

/** Percentiles over the last {@value #SIZE} latencies, recomputed now and then. Confined to one thread. */
final class LatencyWindow {
    private static final int SIZE = 512;
    private static final int REFRESH_EVERY = 32;

    private final long[] nanos = new long[SIZE];
    private long[] sorted = new long[0];
    private int count;

    void add(Duration latency) {
        nanos[count % SIZE] = latency.toNanos();
        count++;
        if (count % REFRESH_EVERY == 0) {
            sorted = Arrays.copyOf(nanos, Math.min(count, SIZE));
            Arrays.sort(sorted);
        }
    }

    Optional<Duration> percentile(double fraction) {
        if (sorted.length == 0) {
            return Optional.empty();
        }
        return Optional.of(Duration.ofNanos(sorted[(int) Math.min(sorted.length - 1, fraction * sorted.length)]));
    }
}
