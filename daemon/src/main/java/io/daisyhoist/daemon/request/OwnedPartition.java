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
 * <p>Invariant: once records may have reached the next owner, no attempt starts under this grant. Confined to the
 * traffic event loop.
 */
final class OwnedPartition {
    private final Grant grant;
    private final AttemptLedger ledger;
    private final Map<AttemptToken, Promise<OutboundResponse>> runningAttempts = new HashMap<>();
    private int inFlight;
    private boolean transferred;
    private Optional<Promise<Void>> idlePromise = Optional.empty();

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

    void requestStarted() {
        inFlight++;
    }

    void requestEnded() {
        inFlight--;
        if (inFlight == 0) {
            idlePromise.ifPresent(Promise::tryComplete);
        }
    }

    /** Returns the pending response of a running attempt; empty if the attempt is not running. */
    Optional<Future<OutboundResponse>> runningResponse(AttemptToken token) {
        return Optional.ofNullable(runningAttempts.get(token)).map(Promise::future);
    }

    void attemptStarted(AttemptToken token) {
        runningAttempts.put(token, Promise.promise());
    }

    void attemptEnded(AttemptToken token, OutboundResponse response) {
        runningAttempts.remove(token).complete(response);
    }

    /** Returns a future that completes when no request is in flight. */
    Future<Void> whenIdle() {
        if (inFlight == 0) {
            return Future.succeededFuture();
        }
        if (idlePromise.isEmpty()) {
            idlePromise = Optional.of(Promise.promise());
        }
        return idlePromise.get().future();
    }
}
