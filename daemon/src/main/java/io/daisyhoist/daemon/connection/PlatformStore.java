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
    /** Reads a value; empty if the key is absent. */
    Future<Optional<VersionedValue>> read(String key);

    /**
     * Writes a value if the key has the expected revision.
     *
     * <p>An unknown outcome is a result, not a failure. The future fails only if the write was certainly not sent and
     * therefore can never take effect.
     *
     * @param expectedRevision revision to replace; 0 if the key must be absent
     */
    Future<SwapOutcome> swap(String key, long expectedRevision, byte[] value);

    /**
     * Waits for a value with a different revision.
     *
     * @param revision revision that the caller knows; 0 for none
     * @param wait maximum time that the store waits
     * @return the value, or empty if it did not change or the key is absent; an absent key may be reported immediately
     */
    Future<Optional<VersionedValue>> watch(String key, long revision, Duration wait);

    /** Returns the time since the last response of the store to any request; empty if there was none. */
    Optional<Duration> timeSinceLastResponse();
}
