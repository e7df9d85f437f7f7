package io.daisyhoist.daemon.connection;

import java.time.Duration;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

/**
 * HTTP request to the platform's store. Immutable.
 *
 * @param path path of the key, with query
 * @param condition name and value of the header that makes the request conditional
 * @param body the value to write; empty for a read
 * @param timeout maximum time from sending the request to the end of the response
 */
record PlatformRequest(String path, Optional<Condition> condition, Optional<Buffer> body, Duration timeout) {
    /** Header of a conditional request. */
    record Condition(CharSequence name, String value) {}

    static PlatformRequest read(String key, Duration timeout) {
        return new PlatformRequest(path(key), Optional.empty(), Optional.empty(), timeout);
    }

    static PlatformRequest watch(String key, long revision, Duration wait, Duration timeout) {
        return new PlatformRequest(
                path(key) + "?wait_ms=" + wait.toMillis(),
                Optional.of(new Condition(HttpHeaders.IF_NONE_MATCH, entityTag(revision))),
                Optional.empty(),
                timeout.plus(wait));
    }

    static PlatformRequest swap(String key, long expectedRevision, byte[] value, Duration timeout) {
        Condition condition = expectedRevision == 0
                ? new Condition(HttpHeaders.IF_NONE_MATCH, "*")
                : new Condition(HttpHeaders.IF_MATCH, entityTag(expectedRevision));
        return new PlatformRequest(path(key), Optional.of(condition), Optional.of(Buffer.buffer(value)), timeout);
    }

    boolean isWrite() {
        return body.isPresent();
    }

    RequestOptions optionsFor(String baseUrl, int connectTimeoutMillis) {
        RequestOptions options = new RequestOptions()
                .setAbsoluteURI(baseUrl + path)
                .setMethod(isWrite() ? HttpMethod.PUT : HttpMethod.GET)
                .setConnectTimeout(connectTimeoutMillis);
        condition.ifPresent(header -> options.putHeader(header.name(), header.value()));
        return options;
    }

    private static String path(String key) {
        return "/v1/kv/" + key;
    }

    private static String entityTag(long revision) {
        return "\"" + revision + "\"";
    }
}
