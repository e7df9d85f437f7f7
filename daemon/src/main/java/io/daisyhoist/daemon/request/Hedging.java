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
 * Sends a second copy of a slow repeatable request without a key, and cancels the copy that loses.
 *
 * <p>Confined to the traffic event loop.
 */
final class Hedging {
    private final TrafficContext traffic;
    private final Map<ServiceName, HedgePolicy> policies = new HashMap<>();

    Hedging(TrafficContext traffic) {
        this.traffic = traffic;
    }

    /**
     * Sends a request, and a copy when it is slow.
     *
     * @param send sends one copy; its argument completes when the copy is no longer needed
     */
    Future<OutboundResponse> run(
            ServiceName service, Future<Void> cancelled, Function<Future<Void>, Future<OutboundResponse>> send) {
        HedgePolicy policy = policies.computeIfAbsent(service, any -> HedgePolicy.standard(traffic.time()));
        policy.onRequest();
        long startNanos = traffic.time().monotonicNanos();
        Race race = new Race(cancelled, send);
        race.start();
        Optional<Duration> delay = policy.hedgeDelay(true, false, false);
        delay.ifPresent(wait -> {
            long timer = traffic.after(wait.toMillis(), () -> {
                if (race.isOpen() && policy.tryHedge()) {
                    traffic.metrics().onHedge(service);
                    race.start();
                }
            });
            race.answer.future().onComplete(done -> traffic.cancelTimer(timer));
        });
        return race.answer.future().onSuccess(answer -> {
            if (answer.refusal().isEmpty()) {
                policy.onResponse(Duration.ofNanos(traffic.time().monotonicNanos() - startNanos));
            }
        });
    }

    /** The copies of one request; the first answer that is no refusal wins, else the last refusal. */
    private static final class Race {
        private final Promise<OutboundResponse> answer = Promise.promise();
        private final Promise<Void> over = Promise.promise();
        private final Function<Future<Void>, Future<OutboundResponse>> send;
        private int running;
        private RunState earlier = RunState.NOT_RUN;

        Race(Future<Void> cancelled, Function<Future<Void>, Future<OutboundResponse>> send) {
            this.send = send;
            cancelled.onSuccess(gone -> over.tryComplete());
        }

        boolean isOpen() {
            return !answer.future().isComplete();
        }

        void start() {
            running++;
            send.apply(over.future()).onSuccess(this::finished);
        }

        private void finished(OutboundResponse response) {
            running--;
            if (response.refusal().isEmpty() || running == 0) {
                answer.tryComplete(response.afterEarlierCopies(earlier));
                over.tryComplete();
            }
            earlier = response.run().afterEarlierCopies(earlier);
        }
    }
}
