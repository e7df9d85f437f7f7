package io.daisyhoist.daemon.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.daisyhoist.core.atmostonce.AttemptLedger;
import io.daisyhoist.core.atmostonce.AttemptToken;
import io.daisyhoist.core.atmostonce.LedgerLimits;
import io.daisyhoist.core.membership.Grant;
import io.daisyhoist.core.time.TimeSource;
import io.vertx.core.Future;
import io.vertx.core.Promise;

/**
 * Requests and attempt records of one partition during one grant.
 *
 * <p>Invariant: once records may have reached the next owner, no attempt begins any more under this grant. Confined to the traffic event loop.
 */
final class OwnedPartition {
    private final Grant grant;
    private final AttemptLedger ledger;
    private final Map<AttemptToken, Promise<OutboundResponse>> running = new HashMap<>();
    private int inFlight;
    private boolean transferred;
    private Optional<Promise<Void>> idle = Optional.empty();

    OwnedPartition(Grant grant, TimeSource time) {
        this.grant = grant;
        this.ledger = new AttemptLedger(grant.partition(), grant.epoch(), LedgerLimits.DEFAULT, time);
    }

    Grant grant() {
        return grant;
    }

    AttemptLedger ledger() {
        return ledger;
    }

    /** Returns whether the next owner may have received records. */
    boolean isTransferred() {
        return transferred;
    }

    void markTransferred() {
        transferred = true;
    }

    void begin() {
        inFlight++;
    }

    void end() {
        inFlight--;
        if (inFlight == 0) {
            idle.ifPresent(Promise::tryComplete);
        }
    }

    /** Returns the answer of the run of an attempt that is running. */
    Optional<Future<OutboundResponse>> runningAnswer(AttemptToken token) {
        return Optional.ofNullable(running.get(token)).map(Promise::future);
    }

    void startRun(AttemptToken token) {
        running.put(token, Promise.promise());
    }

    void endRun(AttemptToken token, OutboundResponse answer) {
        running.remove(token).complete(answer);
    }

    /** Returns a future that completes when nothing is in flight. */
    Future<Void> whenIdle() {
        if (inFlight == 0) {
            return Future.succeededFuture();
        }
        if (idle.isEmpty()) {
            idle = Optional.of(Promise.promise());
        }
        return idle.get().future();
    }
}
