package io.daisyhoist.daemon.request;

import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.daisyhoist.core.retry.Fingerprint;
import io.vertx.core.Future;

/**
 * A request to run on the local backend server. Immutable.
 *
 * @param request the request
 * @param fencingToken fencing token, if the request requires ownership
 * @param fingerprint identity by which requests that crash backend servers are recognized
 * @param preWriteCheck whether the request may still be written; called immediately before the write
 * @param cancelled completes when the response is no longer needed
 * @param cancellableAfterWrite whether cancellation also applies after the write; it doesn't for an attempt that must
 *     run at most once, because its response is returned when the client sends the attempt again
 */
record BackendRun(
        InboundRequest request,
        Optional<String> fencingToken,
        Fingerprint fingerprint,
        BooleanSupplier preWriteCheck,
        Future<Void> cancelled,
        boolean cancellableAfterWrite) {
    static Fingerprint fingerprintOf(InboundRequest request) {
        return request.attemptToken()
                .map(token -> Fingerprint.ofToken(token.format()))
                .orElseGet(() -> Fingerprint.ofRequest(
                        request.method(), request.path(), request.body().getBytes()));
    }
}
