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
    private Optional<Proposal> pending = Optional.empty();
    private int unansweredCalls;
    private int writeConflicts;

    /** A document sent to the store; {@code unanswered} when one of its writes had no response and may take effect. */
    private record Proposal(
            Optional<String> expectedRevision, long baseVersion, ConfigDocument document, boolean unanswered) {
        Proposal withUnansweredWrite() {
            return new Proposal(expectedRevision, baseVersion, document, true);
        }

        PushStep write() {
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
        if (pending.isPresent()) {
            Proposal proposal = pending.get();
            if (revision.equals(proposal.expectedRevision())) {
                // An earlier write may still take effect, so only the same document may be sent again.
                return proposal.write();
            }
            if (proposal.unanswered()
                    && (document.version() <= proposal.baseVersion()
                            || !document.hasHistorySince(proposal.baseVersion()))) {
                return unknown("the changes since version " + proposal.baseVersion() + " are no longer kept");
            }
            // The revision has changed and the push is not in the history: no write of this proposal can take effect.
            pending = Optional.empty();
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
            case APPLIED -> accepted(pending.orElseThrow().document());
            case CONFLICT -> afterWriteConflict();
            case UNKNOWN -> {
                pending = pending.map(Proposal::withUnansweredWrite);
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
        if (proposal.changes().isEmpty()) {
            return new PushStep.Done(new PushOutcome.Unchanged(document));
        }
        ConfigDocument next = proposal.next();
        List<ConfigFault> faults = proposal.faults(next);
        if (!faults.isEmpty()) {
            return new PushStep.Done(new PushOutcome.Invalid(faults));
        }
        Proposal sent = new Proposal(revision, document.version(), next, false);
        pending = Optional.of(sent);
        return sent.write();
    }

    /** Reads again, because only a read shows whether an earlier unanswered write of this push or another push won. */
    private PushStep afterWriteConflict() {
        writeConflicts++;
        boolean mayBeApplied = pending.filter(Proposal::unanswered).isPresent();
        if (!mayBeApplied) {
            pending = Optional.empty();
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
        return pending.filter(Proposal::unanswered).isPresent() ? unknown(reason) : notApplied(reason);
    }

    /** Exponential backoff with full jitter, so that several operators do not retry simultaneously after an outage. */
    private Duration backoff() {
        int doublings = Math.min(unansweredCalls - 1, 20);
        long boundMillis =
                Math.min(limits.maxBackoff().toMillis(), limits.minBackoff().toMillis() << doublings);
        return Duration.ofMillis(boundMillis == 0 ? 0 : random.nextLong(boundMillis + 1));
    }

    private PushStep accepted(ConfigDocument found) {
        return new PushStep.Done(
                new PushOutcome.Accepted(pending.map(Proposal::document).orElse(found)));
    }

    private static PushStep notApplied(String reason) {
        return new PushStep.Done(new PushOutcome.NotApplied(reason));
    }

    private static PushStep unknown(String reason) {
        return new PushStep.Done(new PushOutcome.Unknown(reason));
    }
}
