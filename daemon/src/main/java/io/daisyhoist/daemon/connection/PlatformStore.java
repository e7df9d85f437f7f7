package io.daisyhoist.daemon.connection;

import java.time.Duration;
import java.util.Optional;

import io.vertx.core.Future;

/**
 * The platform's key-value store.
 *
 * <p>Implementations are thread-safe. Failures are {@link PlatformException}s.
 */
public interface PlatformStore {
    /** Reads a value; empty when the key is absent. */
    Future<Optional<VersionedValue>> read(String key);

    /**
     * Writes a value if the key has the expected revision.
     *
     * <p>An unknown outcome is a result, not a failure. The future fails only when the write was certainly not sent, so
     * that it will never take effect.
     *
     * @param expectedRevision revision to replace; 0 when the key must be absent
     */
    Future<SwapOutcome> swap(String key, long expectedRevision, byte[] value);

    /**
     * Waits for a value with another revision.
     *
     * @param revision revision that the caller has; 0 for none
     * @param wait longest wait at the store
     * @return the value, or empty when it did not change or the key is absent; an absent key may be reported at once
     */
    Future<Optional<VersionedValue>> watch(String key, long revision, Duration wait);

    /** Returns the time since the store last answered any request; empty when it never did. */
    Optional<Duration> sinceLastResponse();
}
