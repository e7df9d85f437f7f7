package io.daisyhoist.testkit.backend;

import io.vertx.core.json.JsonObject;

/**
 * What the health and load endpoints and the announcements say; older than the truth by design. Immutable.
 *
 * @param state starting, ready or leaving
 * @param inFlight requests that ran when it was taken
 * @param slots limit of requests at once when it was taken
 * @param takenNanos monotonic time at which it was taken
 */
record LoadReport(String state, int inFlight, int slots, long takenNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000;

    long ageMillis(long nowNanos) {
        return Math.max(0, (nowNanos - takenNanos) / NANOS_PER_MILLI);
    }

    JsonObject load() {
        return new JsonObject().put("in_flight", inFlight).put("slots", slots);
    }
}
