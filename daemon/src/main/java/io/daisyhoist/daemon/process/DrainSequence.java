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
 * Graceful shutdown of a daemon, in order: hand over the partitions, wait for the requests on the backend server, leave
 * the group, wait for the requests of clients, close the ports.
 *
 * <p>Each step waits for a condition; when the grace period ends first, the ports are closed all the same. Runs on the
 * control thread.
 */
final class DrainSequence {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration POLL = Duration.ofMillis(20);

    /** Time for other daemons to learn that this member has left, and for their last requests to arrive. */
    private static final Duration SETTLE = Duration.ofMillis(500);

    private final Control control;
    private final BackendRunner runner;
    private final InFlightCount clients;
    private final EdgeServer edgeServer;
    private final PeerServer peerServer;
    private final BackendClient backend;
    private final Duration grace;
    private final ElapsedTimer started;
    private final CompletableFuture<Void> done = new CompletableFuture<>();

    DrainSequence(
            Control control,
            BackendRunner runner,
            InFlightCount clients,
            EdgeServer edgeServer,
            PeerServer peerServer,
            BackendClient backend,
            Duration grace) {
        this.control = control;
        this.runner = runner;
        this.clients = clients;
        this.edgeServer = edgeServer;
        this.peerServer = peerServer;
        this.backend = backend;
        this.grace = grace;
        this.started = ElapsedTimer.start(control.context().time());
    }

    CompletableFuture<Void> start() {
        LOGGER.atInfo().log("event=drain_started");
        edgeServer.startDraining();
        control.context().control().execute(() -> {
            control.controller().startLeaving();
            waitUntilHandedOver();
        });
        return done;
    }

    private void waitUntilHandedOver() {
        boolean owns = control.group()
                .session()
                .map(session -> !control.group().record().grantsOf(session).isEmpty())
                .orElse(false);
        if ((owns || runner.inFlight() > 0) && !isOverdue()) {
            again(this::waitUntilHandedOver);
            return;
        }
        control.controller().finishLeaving();
        waitUntilLeft();
    }

    private void waitUntilLeft() {
        if (!control.controller().hasLeft() && !isOverdue()) {
            again(this::waitUntilLeft);
            return;
        }
        control.context().control().scheduleOnce(this::waitForClients, SETTLE);
    }

    private void waitForClients() {
        if ((clients.current() > 0 || runner.inFlight() > 0) && !isOverdue()) {
            again(this::waitForClients);
            return;
        }
        LOGGER.atInfo().log(
                "event=drain_finished left=%b clients_in_flight=%d backend_in_flight=%d",
                control.controller().hasLeft(), clients.current(), runner.inFlight());
        edgeServer.shutdown(SETTLE).onComplete(closed -> {
            peerServer.close();
            backend.close();
            control.close();
            done.complete(null);
        });
    }

    private boolean isOverdue() {
        return started.elapsed(control.context().time()).compareTo(grace) > 0;
    }

    private void again(Runnable step) {
        control.context().control().scheduleOnce(step, POLL);
    }
}
