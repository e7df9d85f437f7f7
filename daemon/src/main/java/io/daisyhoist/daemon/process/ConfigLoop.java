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
 * Keeps the configuration current.
 *
 * <p>One member of the group, the one with the lowest daemon id, holds a watch at the platform and pushes changes to the
 * others. Any daemon whose last confirmation is too old reads the platform itself, with jitter, so that a failed watcher
 * delays a change by seconds only. Runs on the control thread.
 */
final class ConfigLoop {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration WATCH_WAIT = Duration.ofSeconds(2);
    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(1);

    /** Half of the 10 s within which a change must be in force everywhere, so that one failed read still fits. */
    private static final Duration MAX_CONFIRMATION_AGE = Duration.ofSeconds(5);

    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final ControlContext context;
    private final ConfigTracker tracker;
    private final Supplier<GroupSnapshot> group;
    private Runnable onChange = () -> {};
    private boolean platformCallRunning;
    private boolean fetchRunning;
    private Optional<ElapsedTimer> lastFailure = Optional.empty();
    private Duration retryDelay = RETRY_DELAY;

    ConfigLoop(ControlContext context, ConfigTracker tracker, Supplier<GroupSnapshot> group) {
        this.context = context;
        this.tracker = tracker;
        this.group = group;
    }

    /** Sets what is run after each change of the configuration in force. */
    void onChange(Runnable listener) {
        onChange = listener;
    }

    ConfigTracker tracker() {
        return tracker;
    }

    void start() {
        context.control().scheduleRepeating(this::step, TICK);
    }

    private void step() {
        if (platformCallRunning || isBackingOff()) {
            return;
        }
        if (!tracker.isLoaded()) {
            read();
        } else if (isWatcher()) {
            watch();
        } else if (isConfirmationOld()) {
            read();
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

    private boolean isConfirmationOld() {
        return tracker.confirmationAge()
                .map(age -> age.compareTo(MAX_CONFIRMATION_AGE) > 0)
                .orElse(true);
    }

    private void read() {
        platformCallRunning = true;
        ElapsedTimer asOf = ElapsedTimer.start(context.time());
        context.store()
                .read(ConfigDocument.STORE_KEY)
                .onComplete(result -> context.control().execute(() -> onPlatformResult(result, asOf)));
    }

    private void watch() {
        platformCallRunning = true;
        ElapsedTimer asOf = ElapsedTimer.start(context.time());
        context.store()
                .watch(ConfigDocument.STORE_KEY, tracker.revision(), WATCH_WAIT)
                .onComplete(result -> context.control().execute(() -> onPlatformResult(result, asOf)));
    }

    private void onPlatformResult(AsyncResult<Optional<VersionedValue>> result, ElapsedTimer asOf) {
        platformCallRunning = false;
        if (result.failed()) {
            lastFailure = Optional.of(ElapsedTimer.start(context.time()));
            // Jitter keeps a fleet from reading in step after an outage.
            retryDelay = RETRY_DELAY.plusMillis(context.random().nextInt((int) RETRY_DELAY.toMillis()));
            LOGGER.atFine().log(
                    "event=config_read_failed reason=\"%s\"", result.cause().getMessage());
            return;
        }
        lastFailure = Optional.empty();
        if (result.result().isEmpty()) {
            tracker.onUnchanged(asOf);
        } else if (tracker.onPlatformDocument(
                result.result().get().bytes(), result.result().get().revision(), asOf)) {
            onChange.run();
            pushToMembers();
        }
    }

    private void pushToMembers() {
        Envelope update = update();
        for (Member member : group.get().record().members()) {
            if (!member.session().process().equals(context.self())) {
                context.peers().send(member.peer(), PeerChannel.CONTROL, update);
            }
        }
    }

    /** Returns the document in force as a message. */
    Envelope update() {
        Duration age = tracker.confirmationAge().orElse(Duration.ZERO);
        return Envelope.newBuilder()
                .setConfigUpdate(ConfigUpdate.newBuilder()
                        .setVersion(tracker.current().version())
                        .setRevision(tracker.revision())
                        .setConfirmedAgeMs((int) Math.min(age.toMillis(), Integer.MAX_VALUE))
                        .setDocumentJson(ByteString.copyFrom(tracker.documentJson())))
                .build();
    }

    /** Takes a document that a peer sent. */
    void onUpdate(ConfigUpdate update) {
        if (tracker.onPeerDocument(
                update.getDocumentJson().toByteArray(),
                update.getRevision(),
                Duration.ofMillis(Integer.toUnsignedLong(update.getConfirmedAgeMs())))) {
            onChange.run();
        }
    }

    /** Fetches a later version from a peer, one call at a context.time(). */
    void fetch(Endpoint peer) {
        if (fetchRunning || !tracker.isLoaded()) {
            return;
        }
        fetchRunning = true;
        Envelope message = Envelope.newBuilder()
                .setConfigFetch(ConfigFetch.newBuilder()
                        .setKnownVersion(tracker.current().version()))
                .build();
        context.peers()
                .call(peer, PeerChannel.CONTROL, message, PEER_TIMEOUT)
                .whenComplete((reply, failure) -> context.control().execute(() -> {
                    fetchRunning = false;
                    if (failure == null && reply.hasConfigUpdate()) {
                        onUpdate(reply.getConfigUpdate());
                    }
                }));
    }
}
