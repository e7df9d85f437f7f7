package io.daisyhoist.core.config;

import java.util.List;

/** Result of a push. */
public sealed interface PushOutcome {
    /**
     * The push is in force.
     *
     * @param document the document that the push wrote; a later one if an earlier run of the tool wrote it
     */
    record Accepted(ConfigDocument document) implements PushOutcome {}

    /**
     * The document already holds the given text, so nothing was written.
     *
     * @param document the document that was found
     */
    record Unchanged(ConfigDocument document) implements PushOutcome {}

    /**
     * Not applied: other pushes changed the same files since the base revisions.
     *
     * @param conflicts the files, sorted by name
     */
    record Conflicted(List<FileConflict> conflicts) implements PushOutcome {}

    /**
     * Not applied: the files are not valid together.
     *
     * @param faults all faults
     */
    record Invalid(List<ConfigFault> faults) implements PushOutcome {}

    /**
     * Not applied, and no write is under way.
     *
     * @param reason what went wrong
     */
    record NotApplied(String reason) implements PushOutcome {}

    /**
     * The push may be in force, or may come into force later.
     *
     * @param reason why that could not be found out
     */
    record Unknown(String reason) implements PushOutcome {}
}
