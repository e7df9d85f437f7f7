package io.daisyhoist.mesh.connection;

import java.util.HashMap;
import java.util.Map;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.retry.UnansweredRequests;
import io.daisyhoist.core.route.Route;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.connection.BackendOutcome.Answered;

/**
 * Gives up exchanges to which the backend server will not respond; checked whenever it has responded to another request.
 *
 * <p>Confined to the traffic event loop, except {@link #givenUp}.
 */
final class UnansweredExchanges {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final UnansweredRequests requests;
    private final Map<Long, BackendHttpExchange> exchanges = new HashMap<>();
    private volatile long givenUp;

    UnansweredExchanges(TimeSource time) {
        this.requests = new UnansweredRequests(time);
    }

    long givenUp() {
        return givenUp;
    }

    /** Watches an exchange from its write to its end. */
    void watch(Route route, BackendRequestData request, BackendHttpExchange exchange) {
        exchange.written().onSuccess(written -> {
            long number = requests.onSent(route.name(), request.deadline(), route.isIdempotent());
            exchanges.put(number, exchange);
            exchange.result().onComplete(done -> {
                exchanges.remove(number);
                if (done.result() instanceof Answered) {
                    requests.onResponse(number);
                    giveUpOverdue();
                } else {
                    requests.onEnd(number);
                }
            });
        });
    }

    private void giveUpOverdue() {
        for (long number : requests.takeOverdue()) {
            BackendHttpExchange exchange = exchanges.get(number);
            givenUp++;
            LOGGER.atWarning().log("event=request_given_up request=%s reason=no_response", exchange.requestId());
            exchange.giveUp();
        }
    }
}
