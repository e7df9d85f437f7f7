package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.Locale;

import io.daisyhoist.core.model.ServiceName;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/** Parses announcements from JSON. Stateless. */
final class AnnouncementParser {
    private static final int MAX_PORT = 65535;

    private AnnouncementParser() {}

    /**
     * Parses an announcement.
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
                new ServiceName(requireString(json, "service")),
                json.getLong("incarnation"),
                requireInRange("port", json.getInteger("port"), 0, MAX_PORT),
                Announcement.State.valueOf(requireString(json, "state").toUpperCase(Locale.ROOT)),
                requireInRange("load.in_flight", load.getInteger("in_flight", 0), 0, Integer.MAX_VALUE),
                requireInRange("load.slots", load.getInteger("slots"), 0, Integer.MAX_VALUE),
                Duration.ofMillis(requireInRange("age_ms", json.getInteger("age_ms", 0), 0, Integer.MAX_VALUE)));
    }

    /** Checks the type because {@link JsonObject#getString} would convert a number to a string. */
    private static String requireString(JsonObject json, String name) {
        if (json.getValue(name) instanceof String text) {
            return text;
        }
        throw new IllegalArgumentException(name + " must be a string");
    }

    private static int requireInRange(String name, int value, int min, int max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(name + " must be " + min + " to " + max + ": " + value);
        }
        return value;
    }
}
