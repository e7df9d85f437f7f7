package io.daisyhoist.mesh.connection;

import java.util.OptionalLong;

import io.daisyhoist.mesh.body.BodyPump;
import io.daisyhoist.mesh.body.BodyRest;
import io.daisyhoist.mesh.body.RequestBody;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;

/**
 * Writes a streamed body to the backend server.
 *
 * <p>Invariant: a connection on which a body was not written completely carries no other bytes; it is closed when the writer is
 * stopped. Confined to the traffic event loop.
 */
final class StreamedBodyWriter {
    private final HttpClientRequest httpRequest;
    private final RequestBody body;
    private final BodyPump pump;

    private final class Connection implements BodyPump.Destination {
        @Override
        public Future<Void> write(Buffer part) {
            return httpRequest.write(part);
        }

        @Override
        public Future<Void> end() {
            return httpRequest.end();
        }
    }

    StreamedBodyWriter(HttpClientRequest httpRequest, RequestBody body, BodyRest rest) {
        this.httpRequest = httpRequest;
        this.body = body;
        OptionalLong missingBytes = body.length().isPresent()
                ? OptionalLong.of(body.length().getAsLong() - body.first().length())
                : OptionalLong.empty();
        this.pump = new BodyPump(rest, missingBytes, new Connection());
    }

    /** Writes the head and the body, with a length or in chunks as the client does. */
    Future<Void> start() {
        if (body.length().isPresent()) {
            httpRequest.putHeader("Content-Length", Long.toString(body.length().getAsLong()));
        } else {
            httpRequest.setChunked(true);
        }
        return httpRequest.write(body.first()).compose(written -> pump.run());
    }

    /** Writes nothing more. */
    void stop() {
        pump.stop();
        if (!pump.isEnded()) {
            httpRequest.connection().close();
        }
    }
}
