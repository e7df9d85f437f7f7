package io.daisyhoist.testkit.platform;

import java.util.Locale;
import java.util.random.RandomGenerator;

import io.vertx.core.json.JsonObject;

/**
 * Faults that the simulated platform injects. Thread-safe.
 *
 * <p>A lost response means that the write takes effect and the connection then closes without a response.
 */
public final class PlatformFaults {
    private final RandomGenerator random;
    private Availability availability = Availability.UP;
    private long delayMillis;
    private long writeDelayMillis;
    private int responsesToLose;
    private double loseProbability;

    /** How the simulated platform handles a call. */
    public enum Availability {
        /** Handles the call. */
        UP,
        /** Closes the connection. */
        CLOSED,
        /** Responds with status 503. */
        UNAVAILABLE
    }

    /** Creates settings without faults. */
    public PlatformFaults(RandomGenerator random) {
        this.random = random;
    }

    /** Updates the settings in the given object and keeps the others. */
    public synchronized void update(JsonObject change) {
        availability = Availability.valueOf(
                change.getString("availability", availability.name()).toUpperCase(Locale.ROOT));
        delayMillis = change.getLong("delay_ms", delayMillis);
        writeDelayMillis = change.getLong("write_delay_ms", writeDelayMillis);
        responsesToLose = change.getInteger("lose_next", responsesToLose);
        loseProbability = change.getDouble("lose_share", loseProbability);
    }

    /** Returns the settings as JSON. */
    public synchronized JsonObject toJson() {
        return new JsonObject()
                .put("availability", availability.name().toLowerCase(Locale.ROOT))
                .put("delay_ms", delayMillis)
                .put("write_delay_ms", writeDelayMillis)
                .put("lose_next", responsesToLose)
                .put("lose_share", loseProbability);
    }

    public synchronized Availability availability() {
        return availability;
    }

    public synchronized long delayMillis() {
        return delayMillis;
    }

    public synchronized long writeDelayMillis() {
        return writeDelayMillis;
    }

    /** Decides whether the response to a write that has just taken effect is lost. */
    public synchronized boolean shouldLoseResponse() {
        if (responsesToLose > 0) {
            responsesToLose--;
            return true;
        }
        return loseProbability > 0 && random.nextDouble() < loseProbability;
    }
}
