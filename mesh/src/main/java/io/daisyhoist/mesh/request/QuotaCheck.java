package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.customer.CustomerName;
import io.daisyhoist.core.quota.QuotaDecision;
import io.daisyhoist.mesh.quota.FleetQuota;
import io.vertx.core.Future;

/**
 * Executes requests that the quota of their customer admits, and returns the quota of those that have not run.
 *
 * <p>Invariants: a request over the quota is refused before it uses anything else; quota is returned only for a response that
 * states that the request has not run. Requests without a customer use no quota. Confined to the traffic event loop.
 */
public final class QuotaCheck {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Optional<FleetQuota> quota;

    private QuotaCheck(Optional<FleetQuota> quota) {
        this.quota = quota;
    }

    /** Returns a check by the given quotas. */
    public static QuotaCheck of(FleetQuota quota) {
        return new QuotaCheck(Optional.of(quota));
    }

    /** Returns a check that admits all requests. */
    public static QuotaCheck unlimited() {
        return new QuotaCheck(Optional.empty());
    }

    /**
     * Executes a request if its customer may run it now.
     *
     * @param customer customer of the request; empty if it belongs to none
     * @param id id of the request, for log lines
     * @param cancelled completes when the client has disconnected
     * @param dispatch executes the request
     */
    public Future<ClientResponse> run(
            Optional<CustomerName> customer,
            String id,
            Future<Void> cancelled,
            Supplier<Future<ClientResponse>> dispatch) {
        if (quota.isEmpty() || customer.isEmpty()) {
            return dispatch.get();
        }
        return quota.get().acquire(customer.get()).compose(decision -> {
            if (decision instanceof QuotaDecision.Refused refused) {
                return Future.succeededFuture(refusal(customer.get(), id, refused));
            }
            return execute(customer.get(), (QuotaDecision.Admitted) decision, cancelled, dispatch);
        });
    }

    private static ClientResponse refusal(CustomerName customer, String id, QuotaDecision.Refused refused) {
        LOGGER.atInfo().log(
                "event=request_over_quota request=%s customer=%s reason=%s retry_after_ms=%d",
                id, customer, refused.reason(), refused.retryAfter().toMillis());
        return refused.reason() == QuotaDecision.Reason.OVER_QUOTA
                ? ClientResponse.overQuota(refused.retryAfter())
                : ClientResponse.notRun(refused.retryAfter());
    }

    private Future<ClientResponse> execute(
            CustomerName customer,
            QuotaDecision.Admitted admitted,
            Future<Void> cancelled,
            Supplier<Future<ClientResponse>> dispatch) {
        if (cancelled.isComplete()) {
            release(customer, admitted);
            return Future.succeededFuture(ClientResponse.notRun(Duration.ZERO));
        }
        return dispatch.get().onSuccess(response -> {
            if (response.statesNotRun()) {
                release(customer, admitted);
            }
        });
    }

    private void release(CustomerName customer, QuotaDecision.Admitted admitted) {
        admitted.permit().release();
        quota.ifPresent(known -> known.onReleased(customer));
    }
}
