package io.daisyhoist.testkit.platform;

import java.util.Locale;
import java.util.random.RandomGenerator;

import io.vertx.core.json.JsonObject;

/**
 * Faults that the platform stand-in shows. Thread-safe.
 *
 * <p>A lost response means that the write took effect and the connection then closed without an answer.
 */
public final class PlatformFaults {
    private final RandomGenerator random;
    private Availability availability = Availability.UP;
    private long delayMillis;
    private long writeDelayMillis;
    private int responsesToLose;
    private double lostShare;

    /** How the stand-in treats a call. */
    public enum Availability {
        /** Serves. */
        UP,
        /** Closes the connection of each call. */
        CLOSED,
        /** Answers 503. */
        UNAVAILABLE
    }

    /** Creates a fault-free state. */
    public PlatformFaults(RandomGenerator random) {
        this.random = random;
    }

    /** Changes the named settings and keeps the others. */
    public synchronized void apply(JsonObject change) {
        availability = Availability.valueOf(
                change.getString("availability", availability.name()).toUpperCase(Locale.ROOT));
        delayMillis = change.getLong("delay_ms", delayMillis);
        writeDelayMillis = change.getLong("write_delay_ms", writeDelayMillis);
        responsesToLose = change.getInteger("lose_next", responsesToLose);
        lostShare = change.getDouble("lose_share", lostShare);
    }

    /** Returns the settings as JSON. */
    public synchronized JsonObject toJson() {
        return new JsonObject()
                .put("availability", availability.name().toLowerCase(Locale.ROOT))
                .put("delay_ms", delayMillis)
                .put("write_delay_ms", writeDelayMillis)
                .put("lose_next", responsesToLose)
                .put("lose_share", lostShare);
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
    public synchronized boolean losesResponse() {
        if (responsesToLose > 0) {
            responsesToLose--;
            return true;
        }
        return lostShare > 0 && random.nextDouble() < lostShare;
    }
}
