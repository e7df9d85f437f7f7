package io.daisyhoist.mesh.process;

import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.daemon.connection.PeerReply;
import io.daisyhoist.daemon.process.ControlExecutor;
import io.daisyhoist.mesh.request.ForwardReceiver;
import io.daisyhoist.mesh.store.Decoded;
import io.daisyhoist.mesh.telemetry.FleetMetrics;
import io.daisyhoist.wire.proto.ConfigFetch;
import io.daisyhoist.wire.proto.FleetLoad;
import io.daisyhoist.wire.proto.OperatorItems;
import io.daisyhoist.wire.proto.StoreChanges;

/**
 * Decodes control messages of other daemons and hands them to the control thread.
 *
 * <p>Invariant: a message that cannot be decoded is logged and counted, and changes nothing. Thread-safe.
 */
final class PeerMessageHandler implements ForwardReceiver.PeerMessageListener {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ControlExecutor control;
    private final FleetMetrics metrics;
    private final FleetGossip gossip;
    private final StoreFollower follower;
    private final ConfirmationLoop confirmationLoop;
    private final String operatorPrefix;

    /**
     * Creates a handler.
     *
     * @param operatorPrefix key prefix that all operator items have
     */
    PeerMessageHandler(
            ControlExecutor control,
            FleetMetrics metrics,
            FleetGossip gossip,
            StoreFollower follower,
            ConfirmationLoop confirmationLoop,
            String operatorPrefix) {
        this.control = control;
        this.metrics = metrics;
        this.gossip = gossip;
        this.follower = follower;
        this.confirmationLoop = confirmationLoop;
        this.operatorPrefix = operatorPrefix;
    }

    @Override
    public void onLoad(FleetLoad load) {
        accept("load", PeerMessages.decode(load), report -> {
            gossip.onLoad(report);
            follower.onReport(report);
        });
    }

    @Override
    public void onOperatorItems(OperatorItems items) {
        accept("operator_items", PeerMessages.decode(items, operatorPrefix), gossip::onOperatorItems);
    }

    @Override
    public void onStoreChanges(StoreChanges changes) {
        accept("store_changes", PeerMessages.decode(changes), delta -> follower.onChanges(changes.getPrefix(), delta));
    }

    @Override
    public void onConfigQuestion(ConfigFetch question, PeerReply reply) {
        control.execute(() -> reply.accept(confirmationLoop.answer()));
    }

    private <T> void accept(String message, Decoded<T> decoded, Consumer<T> consumer) {
        if (decoded instanceof Decoded.Valid<T> valid) {
            control.execute(() -> consumer.accept(valid.value()));
        } else if (decoded instanceof Decoded.Rejected<T> rejected) {
            metrics.onRejectedInput("peer");
            LOGGER.atWarning().log("event=peer_message_rejected message=%s reason=\"%s\"", message, rejected.reason());
        }
    }
}
