package io.daisyhoist.daemon.version;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.config.ConfigDocument;
import io.daisyhoist.core.config.ConfigDocuments;
import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;

/**
 * Tracks the effective configuration of this daemon and the time at which it was last confirmed to be current.
 *
 * <p>Invariants: the version never decreases; no configuration is in effect before the first read from the platform, so
 * a restarted daemon cannot apply an older copy from a peer. Confined to the control thread, except for {@link
 * #current()}, which any thread may call.
 */
public final class ConfigTracker {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final TimeSource time;
    private byte[] documentJson = new byte[0];
    private long revision;
    private Optional<ElapsedTimer> confirmedAt = Optional.empty();
    private volatile EffectiveConfig current = EffectiveConfig.EMPTY;

    public ConfigTracker(TimeSource time) {
        this.time = time;
    }

    /** Returns the effective configuration. */
    public EffectiveConfig current() {
        return current;
    }

    /** Returns the platform revision of the effective document, or 0 if there is none. */
    public long revision() {
        return revision;
    }

    /** Returns the effective document as JSON, to be sent to peers. */
    public byte[] documentJson() {
        return documentJson;
    }

    /** Returns whether the platform has been read since the start of the process. */
    public boolean isLoaded() {
        return confirmedAt.isPresent();
    }

    /** Returns the time since the effective version was last confirmed to be current; empty before the first read. */
    public Optional<Duration> confirmationAge() {
        return confirmedAt.map(timer -> timer.elapsed(time));
    }

    /**
     * Applies a document that was current at the platform at the given time.
     *
     * @return whether the effective configuration changed
     */
    public boolean onPlatformDocument(byte[] json, long documentRevision, ElapsedTimer asOf) {
        boolean changed = apply(json, documentRevision);
        confirm(asOf);
        return changed;
    }

    /** Records that the platform still held the effective version, or no document at all, at the given time. */
    public void onUnchanged(ElapsedTimer asOf) {
        confirm(asOf);
    }

    /**
     * Applies a document from a peer; ignored before the first read from the platform.
     *
     * @return whether the effective configuration changed
     */
    public boolean onPeerDocument(byte[] json, long documentRevision, Duration confirmedAge) {
        if (!isLoaded()) {
            return false;
        }
        boolean changed = apply(json, documentRevision);
        if (changed) {
            onPeerConfirmation(current.version(), confirmedAge);
        }
        return changed;
    }

    /** Records a peer's confirmation that a version was current the given time ago. */
    public void onPeerConfirmation(long version, Duration age) {
        if (isLoaded() && version == current.version()) {
            confirm(new ElapsedTimer(
                    time.monotonicNanos() - age.toNanos(), time.wallTime().minus(age)));
        }
    }

    private void confirm(ElapsedTimer asOf) {
        boolean isLater = confirmedAt
                .map(previous -> asOf.startNanos() - previous.startNanos() > 0)
                .orElse(true);
        if (isLater) {
            confirmedAt = Optional.of(asOf);
        }
    }

    private boolean apply(byte[] json, long documentRevision) {
        try {
            ConfigDocument document = ConfigDocuments.fromJson(new String(json, StandardCharsets.UTF_8));
            if (document.version() <= current.version()) {
                return false;
            }
            current = ConfigDocuments.effective(document);
            revision = documentRevision;
            documentJson = json.clone();
            LOGGER.atInfo().log("event=config_in_force version=%d revision=%d", current.version(), documentRevision);
            return true;
        } catch (DaisyhoistException e) {
            // Documents are validated before they are stored, so this one was written by an incompatible release.
            LOGGER.atSevere().log(
                    "event=config_rejected revision=%d version_in_force=%d reason=\"%s\"",
                    documentRevision, current.version(), e.getMessage());
            return false;
        }
    }
}
