package io.daisyhoist.testkit.load;

import java.util.Map;
import java.util.TreeMap;

import io.vertx.core.json.JsonObject;
import org.HdrHistogram.Histogram;

/** Counts and latencies of a load run. Confined to one event loop. */
final class LoadStats {
    private static final long HIGHEST_LATENCY_MICROS = 120_000_000;
    private static final double MICROS_PER_MILLI = 1_000.0;

    private final Histogram latencyMicros = new Histogram(HIGHEST_LATENCY_MICROS, 3);
    private final Map<String, Integer> refusedByCode = new TreeMap<>();
    private int answered;
    private int wrong;
    private int sends;

    void sent() {
        sends++;
    }

    /** Counts the end of a request; the latency runs from the intended time of its first send. */
    void ended(SendResult last, long latencyNanos) {
        switch (last.kind()) {
            case ANSWERED -> {
                answered++;
                latencyMicros.recordValue(Math.min(HIGHEST_LATENCY_MICROS, latencyNanos / 1_000));
            }
            case WRONG -> wrong++;
            default -> refusedByCode.merge(last.code(), 1, Integer::sum);
        }
    }

    int ended() {
        return answered + wrong + refused();
    }

    JsonObject toJson(int requests) {
        JsonObject codes = new JsonObject();
        refusedByCode.forEach(codes::put);
        return new JsonObject()
                .put("requests", requests)
                .put("answered", answered)
                .put("refused", refused())
                .put("wrong", wrong)
                .put("sends", sends)
                .put("refused_by_code", codes)
                .put("latency_ms", latencies());
    }

    private int refused() {
        return refusedByCode.values().stream().mapToInt(Integer::intValue).sum();
    }

    private JsonObject latencies() {
        return new JsonObject()
                .put("p50", millis(50))
                .put("p90", millis(90))
                .put("p99", millis(99))
                .put("p999", millis(99.9))
                .put("max", millis(100));
    }

    private double millis(double percentile) {
        return latencyMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
