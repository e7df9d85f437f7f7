package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.daisyhoist.core.admission.Rank;
import io.daisyhoist.core.atmostonce.AttemptToken;
import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.DaisyhoistHeaders;
import io.daisyhoist.daemon.connection.HopByHopHeaders;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/** Parses and validates the HTTP requests of clients. Stateless and thread-safe. */
final class RequestParser {
    private static final int MAX_METHOD_CHARS = 32;
    private static final Duration MAX_DEADLINE = Duration.ofMinutes(10);

    private final ServiceTimeouts timeouts;
    private final TimeSource time;

    RequestParser(ServiceTimeouts timeouts, TimeSource time) {
        this.timeouts = timeouts;
        this.time = time;
    }

    /**
     * Parses the target of a request.
     *
     * @throws RefusedException if the request is invalid or its service is unknown
     */
    RequestTarget target(HttpServerRequest http) {
        String path = http.uri().startsWith("/") ? http.path() : null;
        if (path == null || http.method().name().length() > MAX_METHOD_CHARS) {
            throw new RefusedException(RefusalCode.BAD_REQUEST, "invalid request line");
        }
        RequestTarget target = RequestTarget.parse(path);
        if (timeouts.requestTimeout(target.service()).isEmpty()) {
            throw new RefusedException(RefusalCode.UNKNOWN_SERVICE, "no such service: " + target.service());
        }
        return target;
    }

    /**
     * Parses a request except for its body, which is empty in the result.
     *
     * @throws RefusedException if a header is invalid
     */
    InboundRequest parse(HttpServerRequest http, RequestTarget target, Optional<String> traceparent) {
        return new InboundRequest(
                target.service(),
                target.key(),
                http.method().name(),
                http.uri(),
                HopByHopHeaders.endToEnd(http.headers()),
                Buffer.buffer(),
                rank(http),
                deadline(http, target.service()),
                attemptToken(http, target.service()),
                traceparent);
    }

    /** Returns the deadline in the request header, otherwise the default deadline of the service. */
    Deadline deadline(HttpServerRequest http, ServiceName service) {
        Optional<String> value = singleValue(http, DaisyhoistHeaders.DEADLINE_MS);
        if (value.isEmpty()) {
            return Deadline.after(time, timeouts.requestTimeout(service).orElse(MAX_DEADLINE));
        }
        if (!value.get().matches("\\d{1,9}")) {
            throw new RefusedException(RefusalCode.BAD_REQUEST, DaisyhoistHeaders.DEADLINE_MS + " is not a number");
        }
        Duration requested = Duration.ofMillis(Long.parseLong(value.get()));
        return Deadline.after(time, requested.compareTo(MAX_DEADLINE) < 0 ? requested : MAX_DEADLINE);
    }

    private static Rank rank(HttpServerRequest http) {
        return singleValue(http, DaisyhoistHeaders.RANK)
                .map(label -> Rank.fromLabel(label)
                        .orElseThrow(() -> new RefusedException(
                                RefusalCode.BAD_REQUEST,
                                DaisyhoistHeaders.RANK + " must be internal, normal or browse")))
                .orElse(Rank.NORMAL);
    }

    private static Optional<AttemptToken> attemptToken(HttpServerRequest http, ServiceName service) {
        Optional<String> value = singleValue(http, DaisyhoistHeaders.ATTEMPT_TOKEN);
        Optional<AttemptToken> token = value.flatMap(AttemptToken::parse)
                .filter(parsed -> parsed.partition().service().equals(service));
        if (value.isPresent() && token.isEmpty()) {
            throw new RefusedException(
                    RefusalCode.BAD_REQUEST, DaisyhoistHeaders.ATTEMPT_TOKEN + " is not a token of this service");
        }
        return token;
    }

    /** Repeated headers are refused because hops could interpret them differently. */
    private static Optional<String> singleValue(HttpServerRequest http, String name) {
        List<String> values = http.headers().getAll(name);
        if (values.size() > 1) {
            throw new RefusedException(RefusalCode.BAD_REQUEST, name + " is given more than once");
        }
        return values.stream().findFirst();
    }
}
