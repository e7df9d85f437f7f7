package io.daisyhoist.core.config;

import java.time.Instant;
import java.util.List;

/**
 * What an operator wants to push. Immutable.
 *
 * @param pushId random id, never used for another push; it identifies the push in the document
 * @param author operator
 * @param time wall-clock time of the push, for information only
 * @param edits files to change, each at most once
 */
public record PushRequest(String pushId, String author, Instant time, List<FileEdit> edits) {
    /** Copies the list. */
    public PushRequest {
        edits = List.copyOf(edits);
    }
}
