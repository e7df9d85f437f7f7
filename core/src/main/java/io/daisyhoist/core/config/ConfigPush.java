package io.daisyhoist.core.config;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.daisyhoist.core.membership.SwapResult;

/**
 * One push of configuration files, as a state machine without I/O: the caller carries out each {@link PushStep} and
 * reports the result.
 *
 * <p>Invariants: at most one proposed document can still take effect, because a new one is proposed only after the
 * store's revision has moved past the revision that the earlier one expects; an outcome other than {@code Accepted},
 * {@code Unchanged} and {@code Unknown} means that the push is not in force and never will be. Not thread-safe.
 */
public final class ConfigPush {
    private final PushRequest request;
    private final PushLimits limits;
    private final RandomGenerator random;
    private Optional<PendingWrite> pendingWrite = Optional.empty();
    private int unansweredCalls;
    private int writeConflicts;

    /** A document sent to the store; {@code unanswered} when an attempt had no response and may still take effect. */
    private record PendingWrite(
            Optional<String> expectedRevision, long baseVersion, ConfigDocument document, boolean unanswered) {
        PendingWrite asUnanswered() {
            return new PendingWrite(expectedRevision, baseVersion, document, true);
        }

        PushStep toStep() {
            return new PushStep.Write(expectedRevision, document);
        }
    }

    public ConfigPush(PushRequest request, PushLimits limits, RandomGenerator random) {
        this.request = request;
        this.limits = limits;
        this.random = random;
    }

    /** Returns the first step. */
    public PushStep start() {
        return new PushStep.Read(Duration.ZERO);
    }

    /** Handles the result of a read; empty when the store holds no document. */
    public PushStep onRead(Optional<StoredDocument> stored) {
        ConfigDocument document = stored.map(StoredDocument::document).orElse(ConfigDocument.EMPTY);
        Optional<String> revision = stored.map(StoredDocument::storeRevision);
        if (document.change(request.pushId()).isPresent()) {
            return accepted(document);
        }
        if (pendingWrite.isPresent()) {
            PendingWrite write = pendingWrite.get();
            if (revision.equals(write.expectedRevision())) {
                // An earlier write may still take effect, so only the same document may be sent again.
                return write.toStep();
            }
            if (write.unanswered()
                    && (document.version() <= write.baseVersion() || !document.hasHistorySince(write.baseVersion()))) {
                return unknown("the changes since version " + write.baseVersion() + " are no longer kept");
            }
            // The revision has changed and the push is not in the history, so no attempt at the pending write can take
            // effect.
            pendingWrite = Optional.empty();
        }
        return propose(document, revision);
    }

    /** Handles a failed read. */
    public PushStep onReadFailed() {
        return afterUnansweredCall();
    }

    /** Handles the result of a write. */
    public PushStep onWrite(SwapResult result) {
        return switch (result) {
            case APPLIED -> accepted(pendingWrite.orElseThrow().document());
            case CONFLICT -> afterWriteConflict();
            case UNKNOWN -> {
                pendingWrite = pendingWrite.map(PendingWrite::asUnanswered);
                yield afterUnansweredCall();
            }
        };
    }

    private PushStep propose(ConfigDocument document, Optional<String> revision) {
        ConfigProposal proposal = new ConfigProposal(document, request);
        List<FileConflict> conflicts = proposal.conflicts();
        if (!conflicts.isEmpty()) {
            return new PushStep.Done(new PushOutcome.Conflicted(conflicts));
        }
        if (proposal.changingEdits().isEmpty()) {
            return new PushStep.Done(new PushOutcome.Unchanged(document));
        }
        ConfigDocument next = proposal.next();
        List<ConfigFault> faults = proposal.faults(next);
        if (!faults.isEmpty()) {
            return new PushStep.Done(new PushOutcome.Invalid(faults));
        }
        PendingWrite write = new PendingWrite(revision, document.version(), next, false);
        pendingWrite = Optional.of(write);
        return write.toStep();
    }

    /** Reads again, because only a read shows whether an earlier unanswered write of this push or another push won. */
    private PushStep afterWriteConflict() {
        writeConflicts++;
        boolean mayBeApplied = pendingWrite.filter(PendingWrite::unanswered).isPresent();
        if (!mayBeApplied) {
            pendingWrite = Optional.empty();
        }
        if (writeConflicts > limits.maxWriteConflicts()) {
            String reason = "the write conflicted with other pushes " + writeConflicts + " times";
            return mayBeApplied ? unknown(reason) : notApplied(reason);
        }
        return new PushStep.Read(Duration.ZERO);
    }

    private PushStep afterUnansweredCall() {
        unansweredCalls++;
        if (unansweredCalls <= limits.maxUnansweredCalls()) {
            return new PushStep.Read(backoff());
        }
        String reason = "the platform left " + unansweredCalls + " calls unanswered";
        return pendingWrite.filter(PendingWrite::unanswered).isPresent() ? unknown(reason) : notApplied(reason);
    }

    /** Exponential backoff with full jitter, so that several operators do not retry simultaneously after an outage. */
    private Duration backoff() {
        int doublings = Math.min(unansweredCalls - 1, 20);
        long boundMillis =
                Math.min(limits.maxBackoff().toMillis(), limits.minBackoff().toMillis() << doublings);
        return Duration.ofMillis(boundMillis == 0 ? 0 : random.nextLong(boundMillis + 1));
    }

    private PushStep accepted(ConfigDocument found) {
        return new PushStep.Done(new PushOutcome.Accepted(
                pendingWrite.map(PendingWrite::document).orElse(found)));
    }

    private static PushStep notApplied(String reason) {
        return new PushStep.Done(new PushOutcome.NotApplied(reason));
    }

    private static PushStep unknown(String reason) {
        return new PushStep.Done(new PushOutcome.Unknown(reason));
    }
}
