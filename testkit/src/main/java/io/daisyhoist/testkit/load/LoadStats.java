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
    /** Requests whose last send was refused or got no complete response, by code. */
    private final Map<String, Integer> refusedByCode = new TreeMap<>();

    private int answered;
    private int wrong;
    private int sends;

    void countSend() {
        sends++;
    }

    /** Records the final result of a request; latency is measured from the intended time of its first send. */
    void recordResult(SendResult last, long latencyNanos) {
        switch (last.kind()) {
            case ANSWERED -> {
                answered++;
                latencyMicros.recordValue(Math.min(HIGHEST_LATENCY_MICROS, latencyNanos / 1_000));
            }
            case WRONG -> wrong++;
            default -> refusedByCode.merge(last.code(), 1, Integer::sum);
        }
    }

    int completedCount() {
        return answered + wrong + refusedCount();
    }

    JsonObject toJson(int requests) {
        JsonObject codes = new JsonObject();
        refusedByCode.forEach(codes::put);
        return new JsonObject()
                .put("requests", requests)
                .put("answered", answered)
                .put("refused", refusedCount())
                .put("wrong", wrong)
                .put("sends", sends)
                .put("refused_by_code", codes)
                .put("latency_ms", latencyJson());
    }

    private int refusedCount() {
        return refusedByCode.values().stream().mapToInt(Integer::intValue).sum();
    }

    private JsonObject latencyJson() {
        return new JsonObject()
                .put("p50", percentileMillis(50))
                .put("p90", percentileMillis(90))
                .put("p99", percentileMillis(99))
                .put("p999", percentileMillis(99.9))
                .put("max", percentileMillis(100));
    }

    private double percentileMillis(double percentile) {
        return latencyMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
