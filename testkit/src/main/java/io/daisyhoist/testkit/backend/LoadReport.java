package io.daisyhoist.testkit.backend;

import io.vertx.core.json.JsonObject;

/**
 * Snapshot for the health and load endpoints and the announcements; deliberately out of date. Immutable.
 *
 * @param state starting, ready or leaving
 * @param inFlight number of running requests at that time
 * @param limit limit of concurrent requests at that time
 * @param createdNanos monotonic time of the snapshot
 */
record LoadReport(String state, int inFlight, int limit, long createdNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000;

    long ageMillis(long nowNanos) {
        return Math.max(0, (nowNanos - createdNanos) / NANOS_PER_MILLI);
    }

    JsonObject loadJson() {
        return new JsonObject().put("in_flight", inFlight).put("slots", limit);
    }
}
