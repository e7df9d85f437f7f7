package io.daisyhoist.daemon.process;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.daisyhoist.core.config.ConfigDocument;
import io.daisyhoist.core.membership.GroupSnapshot;
import io.daisyhoist.core.membership.Member;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.daemon.connection.PeerChannel;
import io.daisyhoist.daemon.connection.VersionedValue;
import io.daisyhoist.daemon.version.ConfigTracker;
import io.daisyhoist.wire.proto.ConfigFetch;
import io.daisyhoist.wire.proto.ConfigUpdate;
import io.daisyhoist.wire.proto.Envelope;
import io.vertx.core.AsyncResult;

/**
 * Keeps the configuration of the daemon up to date.
 *
 * <p>One member of the group, the one with the lowest daemon id, holds a watch at the platform and pushes changes to
 * the others. Any daemon whose last confirmation is too old reads the platform itself, with jitter, so that a failed
 * watcher delays a change by no more than seconds. Runs on the control thread.
 */
final class ConfigLoop {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration TICK_INTERVAL = Duration.ofMillis(250);
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration PEER_CALL_TIMEOUT = Duration.ofSeconds(1);

    /** Half of the 10 s within which a change must be in effect everywhere, which leaves time for one failed read. */
    private static final Duration MAX_CONFIRMATION_AGE = Duration.ofSeconds(5);

    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(500);

    private final ControlContext context;
    private final ConfigTracker tracker;
    private final Supplier<GroupSnapshot> group;
    private Runnable changeListener = () -> {};
    private boolean platformCallInProgress;
    private boolean fetchInProgress;
    private Optional<ElapsedTimer> lastFailure = Optional.empty();
    private Duration retryDelay = MIN_RETRY_DELAY;

    ConfigLoop(ControlContext context, ConfigTracker tracker, Supplier<GroupSnapshot> group) {
        this.context = context;
        this.tracker = tracker;
        this.group = group;
    }

    /** Sets the listener that is called after each change of the effective configuration. */
    void onChange(Runnable listener) {
        changeListener = listener;
    }

    ConfigTracker tracker() {
        return tracker;
    }

    void start() {
        context.controlThread().scheduleWithFixedDelay(this::step, TICK_INTERVAL);
    }

    private void step() {
        if (platformCallInProgress || isBackingOff()) {
            return;
        }
        if (!tracker.isLoaded()) {
            readPlatform();
        } else if (isWatcher()) {
            watchPlatform();
        } else if (isConfirmationStale()) {
            readPlatform();
        }
    }

    private boolean isBackingOff() {
        return lastFailure
                .map(failure -> failure.elapsed(context.time()).compareTo(retryDelay) < 0)
                .orElse(false);
    }

    private boolean isWatcher() {
        return group.get().record().members().stream()
                .findFirst()
                .map(member -> member.session().process().equals(context.self()))
                .orElse(true);
    }

    private boolean isConfirmationStale() {
        return tracker.confirmationAge()
                .map(age -> age.compareTo(MAX_CONFIRMATION_AGE) > 0)
                .orElse(true);
    }

    private void readPlatform() {
        platformCallInProgress = true;
        ElapsedTimer asOf = ElapsedTimer.start(context.time());
        context.store()
                .read(ConfigDocument.STORE_KEY)
                .onComplete(result -> context.controlThread().execute(() -> onPlatformResult(result, asOf)));
    }

    private void watchPlatform() {
        platformCallInProgress = true;
        ElapsedTimer asOf = ElapsedTimer.start(context.time());
        context.store()
                .watch(ConfigDocument.STORE_KEY, tracker.revision(), WATCH_TIMEOUT)
                .onComplete(result -> context.controlThread().execute(() -> onPlatformResult(result, asOf)));
    }

    private void onPlatformResult(AsyncResult<Optional<VersionedValue>> result, ElapsedTimer asOf) {
        platformCallInProgress = false;
        if (result.failed()) {
            lastFailure = Optional.of(ElapsedTimer.start(context.time()));
            // Jitter prevents the daemons of a fleet from reading simultaneously after an outage.
            retryDelay = MIN_RETRY_DELAY.plusMillis(context.random().nextInt((int) MIN_RETRY_DELAY.toMillis()));
            LOGGER.atFine().log(
                    "event=config_read_failed reason=\"%s\"", result.cause().getMessage());
            return;
        }
        lastFailure = Optional.empty();
        if (result.result().isEmpty()) {
            tracker.onUnchanged(asOf);
        } else if (tracker.onPlatformDocument(
                result.result().get().bytes(), result.result().get().revision(), asOf)) {
            changeListener.run();
            pushToMembers();
        }
    }

    private void pushToMembers() {
        Envelope update = toUpdateMessage();
        for (Member member : group.get().record().members()) {
            if (!member.session().process().equals(context.self())) {
                context.peers().send(member.peer(), PeerChannel.CONTROL, update);
            }
        }
    }

    /** Returns the effective configuration document as a message. */
    Envelope toUpdateMessage() {
        Duration age = tracker.confirmationAge().orElse(Duration.ZERO);
        return Envelope.newBuilder()
                .setConfigUpdate(ConfigUpdate.newBuilder()
                        .setVersion(tracker.current().version())
                        .setRevision(tracker.revision())
                        .setConfirmedAgeMs((int) Math.min(age.toMillis(), Integer.MAX_VALUE))
                        .setDocumentJson(ByteString.copyFrom(tracker.documentJson())))
                .build();
    }

    /** Applies a configuration document that a peer sent. */
    void onUpdate(ConfigUpdate update) {
        if (tracker.onPeerDocument(
                update.getDocumentJson().toByteArray(),
                update.getRevision(),
                Duration.ofMillis(Integer.toUnsignedLong(update.getConfirmedAgeMs())))) {
            changeListener.run();
        }
    }

    /**
     * Fetches a later version from a peer; ignored while another fetch is in progress or before the first platform
     * read.
     */
    void fetch(Endpoint peer) {
        if (fetchInProgress || !tracker.isLoaded()) {
            return;
        }
        fetchInProgress = true;
        Envelope message = Envelope.newBuilder()
                .setConfigFetch(ConfigFetch.newBuilder()
                        .setKnownVersion(tracker.current().version()))
                .build();
        context.peers()
                .call(peer, PeerChannel.CONTROL, message, PEER_CALL_TIMEOUT)
                .whenComplete((reply, failure) -> context.controlThread().execute(() -> {
                    fetchInProgress = false;
                    if (failure == null && reply.hasConfigUpdate()) {
                        onUpdate(reply.getConfigUpdate());
                    }
                }));
    }
}
