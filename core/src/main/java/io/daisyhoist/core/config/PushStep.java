package io.daisyhoist.core.config;

import java.time.Duration;
import java.util.Optional;

/** Next step that the caller of {@link ConfigPush} carries out. */
public sealed interface PushStep {
    /**
     * Read the document, then call {@link ConfigPush#onRead} or {@link ConfigPush#onReadFailed}.
     *
     * @param delay wait before the read
     */
    record Read(Duration delay) implements PushStep {}

    /**
     * Write the document by compare-and-swap, then call {@link ConfigPush#onWrite}.
     *
     * @param expectedRevision store revision that must be current; empty when the document must not exist
     * @param document document to write
     */
    record Write(Optional<String> expectedRevision, ConfigDocument document) implements PushStep {}

    /**
     * The push has ended.
     *
     * @param outcome result for the operator
     */
    record Done(PushOutcome outcome) implements PushStep {}
}
