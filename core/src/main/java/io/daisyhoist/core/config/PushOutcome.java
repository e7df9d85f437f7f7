package io.daisyhoist.core.config;

import java.util.List;

/** Result of a push. */
public sealed interface PushOutcome {
    /**
     * The push is in force.
     *
     * @param document the document that the push wrote, or a later one if the push had already been applied
     */
    record Accepted(ConfigDocument document) implements PushOutcome {}

    /**
     * The document already contains the given files, so nothing was written.
     *
     * @param document the current document
     */
    record Unchanged(ConfigDocument document) implements PushOutcome {}

    /**
     * The push was not applied: other pushes changed the same files since the base revisions.
     *
     * @param conflicts the conflicting files, sorted by name
     */
    record Conflicted(List<FileConflict> conflicts) implements PushOutcome {}

    /**
     * The push was not applied: the resulting configuration is invalid.
     *
     * @param faults all faults
     */
    record Invalid(List<ConfigFault> faults) implements PushOutcome {}

    /**
     * The push was not applied, and no write of it can still take effect.
     *
     * @param reason cause of the failure
     */
    record NotApplied(String reason) implements PushOutcome {}

    /**
     * The push may have been applied, or may still be applied later.
     *
     * @param reason why the outcome could not be determined
     */
    record Unknown(String reason) implements PushOutcome {}
}
