package io.daisyhoist.daemon.request;

import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.daisyhoist.core.retry.Fingerprint;
import io.vertx.core.Future;

/**
 * A request that may run on the local backend server. Immutable.
 *
 * @param request the request
 * @param fence fencing token, for a request that needs ownership
 * @param fingerprint identity for finding requests that crash backend servers
 * @param lastCheck whether it may still be written; called immediately before the write
 * @param cancelled completes when nobody waits for the answer
 * @param abandonable whether a written request is given up then; an attempt that must run at most once is not, because
 *     its response answers the client's next send
 */
record BackendRun(
        InboundRequest request,
        Optional<String> fence,
        Fingerprint fingerprint,
        BooleanSupplier lastCheck,
        Future<Void> cancelled,
        boolean abandonable) {
    static Fingerprint fingerprintOf(InboundRequest request) {
        return request.attemptToken()
                .map(token -> Fingerprint.ofToken(token.format()))
                .orElseGet(() -> Fingerprint.ofRequest(
                        request.method(), request.path(), request.body().getBytes()));
    }
}
