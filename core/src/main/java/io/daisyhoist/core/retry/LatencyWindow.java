package io.daisyhoist.core.retry;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

/**
 * Percentiles of the last {@value #SIZE} latencies, recomputed every {@value #REFRESH_INTERVAL} latencies. Confined to
 * one thread.
 */
final class LatencyWindow {
    private static final int SIZE = 512;
    private static final int REFRESH_INTERVAL = 32;

    private final long[] nanos = new long[SIZE];
    private long[] sortedNanos = new long[0];
    private int count;

    void add(Duration latency) {
        nanos[count % SIZE] = latency.toNanos();
        count++;
        if (count % REFRESH_INTERVAL == 0) {
            sortedNanos = Arrays.copyOf(nanos, Math.min(count, SIZE));
            Arrays.sort(sortedNanos);
        }
    }

    Optional<Duration> percentile(double fraction) {
        if (sortedNanos.length == 0) {
            return Optional.empty();
        }
        return Optional.of(
                Duration.ofNanos(sortedNanos[(int) Math.min(sortedNanos.length - 1, fraction * sortedNanos.length)]));
    }
}
