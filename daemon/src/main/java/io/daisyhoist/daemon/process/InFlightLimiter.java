package io.daisyhoist.daemon.process;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.daemon.request.InboundRequest;
import io.daisyhoist.daemon.request.OutboundResponse;
import io.daisyhoist.daemon.request.RequestHandler;
import io.vertx.core.Future;

/** Limits the number of client requests in flight; refuses those above the limit. Thread-safe. */
final class InFlightLimiter implements RequestHandler {
    private static final Duration RETRY_AFTER = Duration.ofMillis(200);

    private final RequestHandler next;
    private final int limit;
    private final AtomicInteger count = new AtomicInteger();

    InFlightLimiter(RequestHandler next, int limit) {
        this.next = next;
        this.limit = limit;
    }

    int inFlight() {
        return count.get();
    }

    @Override
    public Future<OutboundResponse> handle(InboundRequest request, Future<Void> cancelled) {
        if (count.incrementAndGet() > limit) {
            count.decrementAndGet();
            return Future.succeededFuture(OutboundResponse.refused(Refusal.of(
                    RefusalCode.OVERLOADED, "this daemon has " + limit + " requests in flight", RETRY_AFTER)));
        }
        return next.handle(request, cancelled).onComplete(done -> count.decrementAndGet());
    }

    @Override
    public Future<OutboundResponse> issueToken(ServiceName service, Optional<String> key, Deadline deadline) {
        return next.issueToken(service, key, deadline);
    }
}
