package io.daisyhoist.mesh.connection;

import java.util.OptionalDouble;

/**
 * Names of the header fields that clients and backend servers use. Immutable.
 *
 * @param requestId identity that a client gives to one attempt; echoed by backend servers
 * @param deadlineMs milliseconds that the sender still waits
 * @param expectedBackend process of the backend server that the sender means
 * @param actualBackend process of the backend server that answers
 * @param callerService service of the instance at which a request entered the fleet
 * @param key key of a request to a service with keys
 * @param signature proof that a backend server made an answer
 * @param notRun present if the backend server has not run the request
 * @param load load figures of a backend server
 * @param loadReader reads these figures
 */
public record HeaderNames(
        String requestId,
        String deadlineMs,
        String expectedBackend,
        String actualBackend,
        String callerService,
        String key,
        String signature,
        String notRun,
        String load,
        LoadReader loadReader) {
    /** Reads the load figures of a backend server. */
    @FunctionalInterface
    public interface LoadReader {
        /** Returns how long work takes relative to the usual; empty when the figures do not say so. */
        OptionalDouble slowdown(String value);
    }
}
