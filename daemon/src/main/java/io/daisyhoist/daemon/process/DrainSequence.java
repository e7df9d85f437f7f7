package io.daisyhoist.daemon.process;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.daemon.connection.BackendClient;
import io.daisyhoist.daemon.connection.PeerServer;
import io.daisyhoist.daemon.request.BackendRunner;
import io.daisyhoist.daemon.request.EdgeServer;

/**
 * Graceful shutdown of a daemon, in this order: hand over the partitions, wait for the requests on the backend server,
 * leave the group, wait for the client requests, close the ports.
 *
 * <p>Each step polls a condition. If the grace period expires first, the remaining steps don't wait and the ports are
 * closed. Runs on the control thread.
 */
final class DrainSequence {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    /** Time for other daemons to learn that this member has left, and for their last requests to arrive. */
    private static final Duration SETTLE_DELAY = Duration.ofMillis(500);

    private final ControlPlane controlPlane;
    private final BackendRunner runner;
    private final InFlightLimiter clientRequests;
    private final EdgeServer edgeServer;
    private final PeerServer peerServer;
    private final BackendClient backendClient;
    private final Duration grace;
    private final ElapsedTimer started;
    private final CompletableFuture<Void> done = new CompletableFuture<>();

    DrainSequence(
            ControlPlane controlPlane,
            BackendRunner runner,
            InFlightLimiter clientRequests,
            EdgeServer edgeServer,
            PeerServer peerServer,
            BackendClient backendClient,
            Duration grace) {
        this.controlPlane = controlPlane;
        this.runner = runner;
        this.clientRequests = clientRequests;
        this.edgeServer = edgeServer;
        this.peerServer = peerServer;
        this.backendClient = backendClient;
        this.grace = grace;
        this.started = ElapsedTimer.start(controlPlane.context().time());
    }

    CompletableFuture<Void> start() {
        LOGGER.atInfo().log("event=drain_started");
        edgeServer.startDraining();
        controlPlane.context().controlThread().execute(() -> {
            controlPlane.controller().startLeaving();
            waitUntilHandedOver();
        });
        return done;
    }

    private void waitUntilHandedOver() {
        boolean ownsPartitions = controlPlane
                .group()
                .session()
                .map(session -> !controlPlane.group().record().grantsOf(session).isEmpty())
                .orElse(false);
        if ((ownsPartitions || runner.inFlight() > 0) && !isGraceExpired()) {
            scheduleNextPoll(this::waitUntilHandedOver);
            return;
        }
        controlPlane.controller().finishLeaving();
        waitUntilGroupLeft();
    }

    private void waitUntilGroupLeft() {
        if (!controlPlane.controller().hasLeft() && !isGraceExpired()) {
            scheduleNextPoll(this::waitUntilGroupLeft);
            return;
        }
        controlPlane.context().controlThread().scheduleOnce(this::waitForClients, SETTLE_DELAY);
    }

    private void waitForClients() {
        if ((clientRequests.inFlight() > 0 || runner.inFlight() > 0) && !isGraceExpired()) {
            scheduleNextPoll(this::waitForClients);
            return;
        }
        LOGGER.atInfo().log(
                "event=drain_finished left=%b clients_in_flight=%d backend_in_flight=%d",
                controlPlane.controller().hasLeft(), clientRequests.inFlight(), runner.inFlight());
        edgeServer.shutdown(SETTLE_DELAY).onComplete(closed -> {
            peerServer.close();
            backendClient.close();
            controlPlane.close();
            done.complete(null);
        });
    }

    private boolean isGraceExpired() {
        return started.elapsed(controlPlane.context().time()).compareTo(grace) > 0;
    }

    private void scheduleNextPoll(Runnable step) {
        controlPlane.context().controlThread().scheduleOnce(step, POLL_INTERVAL);
    }
}
