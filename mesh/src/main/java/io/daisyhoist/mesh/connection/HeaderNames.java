package io.daisyhoist.mesh.connection;

import java.util.OptionalDouble;

/**
 * Names of HTTP header fields used by clients and backend servers. Immutable.
 *
 * @param requestId id that a client assigns to one attempt; echoed by backend servers
 * @param deadlineMs remaining time until the deadline of the sender, in milliseconds
 * @param expectedBackend process of the backend server that the sender expects
 * @param actualBackend process of the backend server that responds
 * @param callerService service of the instance at which a request entered the fleet
 * @param key key of a request to a keyed service
 * @param signature signature that shows that a response was created by a backend server
 * @param notRun present if the backend server did not run the request
 * @param load load figures of a backend server
 * @param loadParser parser of the load figures
 * @param apiKey API key of a customer, which only clients send
 * @param customer name of the customer of a request, which only daemons send
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
        LoadParser loadParser,
        String apiKey,
        String customer) {
    /** Parses the load figures of a backend server. */
    @FunctionalInterface
    public interface LoadParser {
        /** Returns the slowdown factor relative to normal run times; empty if the figures do not contain it. */
        OptionalDouble slowdown(String value);
    }
}
