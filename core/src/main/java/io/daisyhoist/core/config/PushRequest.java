package io.daisyhoist.core.config;

import java.time.Instant;
import java.util.List;

/**
 * Request of an operator to change configuration files. Immutable.
 *
 * @param pushId unique random id that identifies the push in the document
 * @param author operator who makes the push
 * @param time wall-clock time of the push, for information only
 * @param edits files to change, each at most once
 */
public record PushRequest(String pushId, String author, Instant time, List<FileEdit> edits) {
    /** Copies the list. */
    public PushRequest {
        edits = List.copyOf(edits);
    }
}
