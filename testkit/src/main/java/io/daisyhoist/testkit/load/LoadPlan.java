package io.daisyhoist.testkit.load;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Settings of a load run. Immutable.
 *
 * @param daemons base URLs of the daemons' client ports, used in turn
 * @param keyedServices services that receive keyed requests
 * @param keylessServices services that receive keyless requests
 * @param requestCount number of requests
 * @param ratePerSecond intended rate, independent of responses (open loop)
 * @param keysPerService number of distinct keys for each service
 * @param postShare fraction of requests that must be executed at most once
 * @param keylessShare fraction of requests without a key
 * @param sendTimeout time to wait for the response to one send
 * @param requestTimeout time within which a request may be retried
 * @param retryDelay delay before a retry
 * @param outcomeFile file for one JSON line per request
 * @param seed seed of the random choices
 */
public record LoadPlan(
        List<String> daemons,
        List<String> keyedServices,
        List<String> keylessServices,
        int requestCount,
        double ratePerSecond,
        int keysPerService,
        double postShare,
        double keylessShare,
        Duration sendTimeout,
        Duration requestTimeout,
        Duration retryDelay,
        Optional<Path> outcomeFile,
        long seed) {
    /** Copies the lists. */
    public LoadPlan {
        daemons = List.copyOf(daemons);
        keyedServices = List.copyOf(keyedServices);
        keylessServices = List.copyOf(keylessServices);
    }
}
