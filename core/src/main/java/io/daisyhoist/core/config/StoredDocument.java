package io.daisyhoist.core.config;

/**
 * A document read from the platform's store. Immutable.
 *
 * @param storeRevision opaque revision that the store expects in a compare-and-swap
 * @param document the document
 */
public record StoredDocument(String storeRevision, ConfigDocument document) {}
