package io.daisyhoist.daemon.process;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.daemon.request.InboundRequest;
import io.daisyhoist.daemon.request.OutboundResponse;
import io.daisyhoist.daemon.request.RequestHandler;
import io.vertx.core.Future;

/** Counts the client requests that have no answer yet. Thread-safe. */
final class InFlightCount implements RequestHandler {
    private final RequestHandler next;
    private final AtomicInteger count = new AtomicInteger();

    InFlightCount(RequestHandler next) {
        this.next = next;
    }

    int current() {
        return count.get();
    }

    @Override
    public Future<OutboundResponse> handle(InboundRequest request, Future<Void> cancelled) {
        count.incrementAndGet();
        return next.handle(request, cancelled).onComplete(done -> count.decrementAndGet());
    }

    @Override
    public Future<OutboundResponse> issueToken(ServiceName service, Optional<String> key, Deadline deadline) {
        return next.issueToken(service, key, deadline);
    }
}
