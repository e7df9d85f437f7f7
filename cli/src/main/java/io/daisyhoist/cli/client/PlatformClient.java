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
 * The configuration document in the platform's store, through the platform's HTTP interface. Not thread-safe.
 *
 * <p>With several URLs, a call that is not answered moves on to the next URL for the calls that follow.
 */
public final class PlatformClient {
    private final HttpCalls calls;
    private final List<URI> urls;
    private int current;
    private Optional<String> lastFailure = Optional.empty();

    public PlatformClient(HttpCalls calls, List<URI> urls) {
        this.calls = calls;
        this.urls = List.copyOf(urls);
    }

    /**
     * Reads the document, trying each URL once; empty when none has been pushed yet.
     *
     * @throws UnansweredCallException when no URL answers
     * @throws io.daisyhoist.core.error.DaisyhoistException when the stored document is damaged
     */
    public Optional<StoredDocument> read() {
        for (int attempt = 1; ; attempt++) {
            try {
                return readOnce();
            } catch (UnansweredCallException e) {
                moveOn(e);
                if (attempt >= urls.size()) {
                    throw e;
                }
            }
        }
    }

    /** Writes the document if the expected revision is current; empty expects that there is no document. */
    public SwapResult write(Optional<String> expectedRevision, ConfigDocument document) {
        Map<String, String> condition =
                expectedRevision.map(revision -> Map.of("If-Match", revision)).orElse(Map.of("If-None-Match", "*"));
        try {
            HttpResponse<Buffer> response =
                    calls.call(HttpMethod.PUT, documentUrl(), condition, Optional.of(ConfigDocuments.toJson(document)));
            return switch (response.statusCode()) {
                case 200 -> SwapResult.APPLIED;
                case 412 -> SwapResult.CONFLICT;
                default -> throw unexpected(response);
            };
        } catch (UnansweredCallException e) {
            moveOn(e);
            return SwapResult.UNKNOWN;
        }
    }

    /** Returns what the last unanswered call met. */
    public Optional<String> lastFailure() {
        return lastFailure;
    }

    private Optional<StoredDocument> readOnce() {
        HttpResponse<Buffer> response = calls.call(HttpMethod.GET, documentUrl(), Map.of(), Optional.empty());
        if (response.statusCode() == 404) {
            return Optional.empty();
        }
        String revision = response.getHeader("ETag");
        if (response.statusCode() != 200 || revision == null) {
            throw unexpected(response);
        }
        String body = Optional.ofNullable(response.bodyAsString()).orElse("");
        return Optional.of(new StoredDocument(revision, ConfigDocuments.fromJson(body)));
    }

    private UnansweredCallException unexpected(HttpResponse<Buffer> response) {
        return new UnansweredCallException(documentUrl() + ": unexpected status " + response.statusCode()
                + (response.statusCode() == 200 ? " without ETag" : ""));
    }

    private void moveOn(UnansweredCallException failure) {
        lastFailure = Optional.of(failure.getMessage());
        current = (current + 1) % urls.size();
    }

    private URI documentUrl() {
        return urls.get(current).resolve("/v1/kv/" + ConfigDocument.STORE_KEY);
    }
}
