package io.daisyhoist.testkit.load;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What the load client sends. Immutable.
 *
 * @param daemons base URLs of the daemons' HTTP edges, used in turn
 * @param keyedServices services that get keyed requests
 * @param keylessServices services that get keyless requests
 * @param requests number of requests
 * @param ratePerSecond intended rate, kept whatever the answers (open loop)
 * @param keysPerService number of distinct keys for each service
 * @param postShare share of the requests that must run at most once
 * @param keylessShare share of the requests that carry no key
 * @param sendTimeout time to wait for the answer to one send
 * @param requestTimeout time in which a request may be sent again
 * @param retryPause pause before another send
 * @param outcomeFile file for one JSON line per request
 * @param seed seed of the choices
 */
public record LoadPlan(
        List<String> daemons,
        List<String> keyedServices,
        List<String> keylessServices,
        int requests,
        double ratePerSecond,
        int keysPerService,
        double postShare,
        double keylessShare,
        Duration sendTimeout,
        Duration requestTimeout,
        Duration retryPause,
        Optional<Path> outcomeFile,
        long seed) {
    /** Copies the lists. */
    public LoadPlan {
        daemons = List.copyOf(daemons);
        keyedServices = List.copyOf(keyedServices);
        keylessServices = List.copyOf(keylessServices);
    }
}
