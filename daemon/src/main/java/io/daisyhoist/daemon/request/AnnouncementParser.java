package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.Locale;

import io.daisyhoist.core.model.ServiceName;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/** Reads announcements from JSON. Stateless. */
final class AnnouncementParser {
    private static final int MAX_PORT = 65535;

    private AnnouncementParser() {}

    /**
     * Reads an announcement.
     *
     * @throws IllegalArgumentException if a field is missing or invalid
     */
    static Announcement parse(String text) {
        try {
            return read(new JsonObject(text));
        } catch (DecodeException | ClassCastException | NullPointerException e) {
            throw new IllegalArgumentException("announcement is not valid: " + e.getMessage(), e);
        }
    }

    private static Announcement read(JsonObject json) {
        JsonObject load = json.getJsonObject("load", new JsonObject());
        return new Announcement(
                new ServiceName(string(json, "service")),
                json.getLong("incarnation"),
                inRange("port", json.getInteger("port"), 0, MAX_PORT),
                Announcement.State.valueOf(string(json, "state").toUpperCase(Locale.ROOT)),
                inRange("load.in_flight", load.getInteger("in_flight", 0), 0, Integer.MAX_VALUE),
                inRange("load.slots", load.getInteger("slots"), 0, Integer.MAX_VALUE),
                Duration.ofMillis(inRange("age_ms", json.getInteger("age_ms", 0), 0, Integer.MAX_VALUE)));
    }

    /** Vert.x would turn a number into text. */
    private static String string(JsonObject json, String name) {
        if (json.getValue(name) instanceof String text) {
            return text;
        }
        throw new IllegalArgumentException(name + " must be a string");
    }

    private static int inRange(String name, int value, int min, int max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(name + " must be " + min + " to " + max + ": " + value);
        }
        return value;
    }
}
