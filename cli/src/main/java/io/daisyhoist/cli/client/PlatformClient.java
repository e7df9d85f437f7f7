package io.daisyhoist.cli.client;

import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.daisyhoist.core.config.ConfigDocument;
import io.daisyhoist.core.config.ConfigDocuments;
import io.daisyhoist.core.config.StoredDocument;
import io.daisyhoist.core.membership.SwapResult;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpResponse;

/**
 * Reads and writes the configuration document through the HTTP interface of the platform's store. Not thread-safe.
 *
 * <p>With several URLs, a call without a response switches to the next URL for subsequent calls.
 */
public final class PlatformClient {
    private final BlockingHttpClient httpClient;
    private final List<URI> urls;
    private int currentUrlIndex;
    private Optional<String> lastFailure = Optional.empty();

    public PlatformClient(BlockingHttpClient httpClient, List<URI> urls) {
        this.httpClient = httpClient;
        this.urls = List.copyOf(urls);
    }

    /**
     * Reads the document, trying each URL once; empty if none has been pushed yet.
     *
     * @throws NoResponseException if no URL responds
     * @throws io.daisyhoist.core.error.DaisyhoistException if the stored document is corrupt
     */
    public Optional<StoredDocument> read() {
        for (int attempt = 1; ; attempt++) {
            try {
                return readOnce();
            } catch (NoResponseException e) {
                switchToNextUrl(e);
                if (attempt >= urls.size()) {
                    throw e;
                }
            }
        }
    }

    /** Writes the document if the expected revision is current; an empty revision requires that no document exists. */
    public SwapResult write(Optional<String> expectedRevision, ConfigDocument document) {
        Map<String, String> condition =
                expectedRevision.map(revision -> Map.of("If-Match", revision)).orElse(Map.of("If-None-Match", "*"));
        try {
            HttpResponse<Buffer> response = httpClient.send(
                    HttpMethod.PUT, documentUrl(), condition, Optional.of(ConfigDocuments.toJson(document)));
            return switch (response.statusCode()) {
                case 200 -> SwapResult.APPLIED;
                case 412 -> SwapResult.CONFLICT;
                default -> throw unexpectedResponse(response);
            };
        } catch (NoResponseException e) {
            switchToNextUrl(e);
            return SwapResult.UNKNOWN;
        }
    }

    /** Returns the error of the last call without a usable response. */
    public Optional<String> lastFailure() {
        return lastFailure;
    }

    private Optional<StoredDocument> readOnce() {
        HttpResponse<Buffer> response = httpClient.send(HttpMethod.GET, documentUrl(), Map.of(), Optional.empty());
        if (response.statusCode() == 404) {
            return Optional.empty();
        }
        String revision = response.getHeader("ETag");
        if (response.statusCode() != 200 || revision == null) {
            throw unexpectedResponse(response);
        }
        String body = Optional.ofNullable(response.bodyAsString()).orElse("");
        return Optional.of(new StoredDocument(revision, ConfigDocuments.fromJson(body)));
    }

    private NoResponseException unexpectedResponse(HttpResponse<Buffer> response) {
        return new NoResponseException(documentUrl() + ": unexpected status " + response.statusCode()
                + (response.statusCode() == 200 ? " without ETag" : ""));
    }

    private void switchToNextUrl(NoResponseException failure) {
        lastFailure = Optional.of(failure.getMessage());
        currentUrlIndex = (currentUrlIndex + 1) % urls.size();
    }

    private URI documentUrl() {
        return urls.get(currentUrlIndex).resolve("/v1/kv/" + ConfigDocument.STORE_KEY);
    }
}
