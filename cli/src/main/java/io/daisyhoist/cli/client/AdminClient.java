package io.daisyhoist.cli.client;

import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.daisyhoist.cli.output.Json;
import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpResponse;

/** Client of one daemon's admin port. Not thread-safe. */
public final class AdminClient {
    private final BlockingHttpClient httpClient;
    private final URI url;

    public AdminClient(BlockingHttpClient httpClient, URI url) {
        this.httpClient = httpClient;
        this.url = url;
    }

    /** Reads the daemon's view of its group, as JSON text. */
    public String status() {
        return get("/v1/status").orElseThrow(() -> notFound("the daemon has no status"));
    }

    /** Reads the owner of a key, as JSON text; empty if there is none. */
    public Optional<String> owner(String service, String key) {
        return get("/v1/owner?service=" + urlEncode(service) + "&key=" + urlEncode(key));
    }

    /**
     * Requests a graceful shutdown of the daemon.
     *
     * @throws DaisyhoistException with {@link ErrorCode#OUTCOME_UNKNOWN} if the daemon does not respond
     */
    public void drain() {
        try {
            HttpResponse<Buffer> response =
                    httpClient.send(HttpMethod.POST, url.resolve("/v1/drain"), Map.of(), Optional.empty());
            if (response.statusCode() / 100 != 2) {
                throw new DaisyhoistException(
                        ErrorCode.INTERNAL, url + ": the daemon answered with status " + response.statusCode());
            }
        } catch (NoResponseException e) {
            if (!e.maybeSent()) {
                throw e;
            }
            throw new DaisyhoistException(
                    ErrorCode.OUTCOME_UNKNOWN, "the daemon did not answer and may be draining: " + e.getMessage(), e);
        }
    }

    private Optional<String> get(String path) {
        HttpResponse<Buffer> response = httpClient.send(HttpMethod.GET, url.resolve(path), Map.of(), Optional.empty());
        if (response.statusCode() == 404) {
            return Optional.empty();
        }
        if (response.statusCode() != 200) {
            throw new NoResponseException(url + ": unexpected status " + response.statusCode());
        }
        return Optional.ofNullable(response.bodyAsString());
    }

    /** Parses the body of a response into a typed report. */
    public static <T> T parse(String body, Class<T> type) {
        try {
            return Optional.ofNullable(Json.MAPPER.readValue(body, type))
                    .orElseThrow(() -> new DaisyhoistException(
                            ErrorCode.INTERNAL, "the daemon's answer is not understood: it is null"));
        } catch (JsonProcessingException e) {
            throw new DaisyhoistException(
                    ErrorCode.INTERNAL, "the daemon's answer is not understood: " + e.getOriginalMessage(), e);
        }
    }

    /** Parses the body of a response for unmodified output. */
    public static ObjectNode parse(String body) {
        return parse(body, ObjectNode.class);
    }

    private static DaisyhoistException notFound(String message) {
        return new DaisyhoistException(ErrorCode.NOT_FOUND, message);
    }

    private static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
