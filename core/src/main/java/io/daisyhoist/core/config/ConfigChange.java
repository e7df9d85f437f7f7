package io.daisyhoist.core.config;

import java.time.Instant;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One accepted push. Immutable.
 *
 * @param version version of the document that the push produced
 * @param pushId unique id of the push, generated at random by the command-line tool
 * @param files names of the files that changed
 * @param author operator who made the push
 * @param time wall-clock time of the push on the operator's machine, for information only
 */
public record ConfigChange(long version, String pushId, List<String> files, String author, Instant time) {
    /** Copies the list. */
    public ConfigChange {
        files = List.copyOf(files);
    }

    @JsonCreator
    static ConfigChange fromJson(
            @JsonProperty(value = "version", required = true) long version,
            @JsonProperty(value = "push_id", required = true) String pushId,
            @JsonProperty(value = "files", required = true) List<String> files,
            @JsonProperty(value = "author", required = true) String author,
            @JsonProperty(value = "time", required = true) String time) {
        return new ConfigChange(version, pushId, files, author, Instant.parse(time));
    }

    /** Returns the time in ISO 8601, as encoded in JSON. */
    @JsonProperty("time")
    String isoTime() {
        return time.toString();
    }
}
