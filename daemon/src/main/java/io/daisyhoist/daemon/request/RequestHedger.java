package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import io.daisyhoist.core.error.RunState;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.retry.HedgePolicy;
import io.vertx.core.Future;
import io.vertx.core.Promise;

/**
 * Sends a second copy of a slow repeatable request without a key, and cancels the copy that responds later.
 *
 * <p>Confined to the traffic event loop.
 */
final class RequestHedger {
    private final TrafficContext traffic;
    private final Map<ServiceName, HedgePolicy> policies = new HashMap<>();

    RequestHedger(TrafficContext traffic) {
        this.traffic = traffic;
    }

    /**
     * Sends a request, and a second copy if the response is slow.
     *
     * @param send sends one copy; its argument completes when the response of the copy is no longer needed
     */
    Future<OutboundResponse> run(
            ServiceName service, Future<Void> cancelled, Function<Future<Void>, Future<OutboundResponse>> send) {
        HedgePolicy policy = policies.computeIfAbsent(service, any -> HedgePolicy.standard(traffic.time()));
        policy.onRequest();
        long startNanos = traffic.time().monotonicNanos();
        HedgedSend hedgedSend = new HedgedSend(cancelled, send);
        hedgedSend.start();
        Optional<Duration> delay = policy.hedgeDelay(true, false, false);
        delay.ifPresent(wait -> {
            long timer = traffic.schedule(wait.toMillis(), () -> {
                if (hedgedSend.isOpen() && policy.tryHedge()) {
                    traffic.metrics().onHedge(service);
                    hedgedSend.start();
                }
            });
            hedgedSend.result.future().onComplete(done -> traffic.cancelTimer(timer));
        });
        return hedgedSend.result.future().onSuccess(response -> {
            if (response.refusal().isEmpty()) {
                policy.onResponse(Duration.ofNanos(traffic.time().monotonicNanos() - startNanos));
            }
        });
    }

    /** Copies of one request; the result is the first response that is not a refusal, otherwise the last refusal. */
    private static final class HedgedSend {
        private final Promise<OutboundResponse> result = Promise.promise();
        private final Promise<Void> cancelCopies = Promise.promise();
        private final Function<Future<Void>, Future<OutboundResponse>> send;
        private int copiesInFlight;
        private RunState earlierRunState = RunState.NOT_RUN;

        HedgedSend(Future<Void> cancelled, Function<Future<Void>, Future<OutboundResponse>> send) {
            this.send = send;
            cancelled.onSuccess(ignored -> cancelCopies.tryComplete());
        }

        boolean isOpen() {
            return !result.future().isComplete();
        }

        void start() {
            copiesInFlight++;
            send.apply(cancelCopies.future()).onSuccess(this::onResponse);
        }

        private void onResponse(OutboundResponse response) {
            copiesInFlight--;
            if (response.refusal().isEmpty() || copiesInFlight == 0) {
                result.tryComplete(response.afterEarlierCopies(earlierRunState));
                cancelCopies.tryComplete();
            }
            earlierRunState = response.run().combineWithEarlierCopies(earlierRunState);
        }
    }
}
