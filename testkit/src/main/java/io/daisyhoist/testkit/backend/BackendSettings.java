package io.daisyhoist.testkit.backend;

import java.time.Duration;
import java.util.Optional;

/**
 * Settings of one backend server stand-in. Immutable.
 *
 * @param service service that it belongs to
 * @param host numeric address to listen on
 * @param port port for requests, health and load; 0 takes a free one
 * @param adminPort port of the admin interface; 0 takes a free one
 * @param daemonAdmin admin URL of its daemon, empty when it announces itself to none
 * @param slots requests that it runs at once when warm
 * @param maxConnections connections beyond this count are closed at once
 * @param serviceTimeMillis median service time in milliseconds
 * @param serviceTimeSpread sigma of the lognormal service time; 0 makes it constant
 * @param coldLimit requests that it runs at once just after a start
 * @param warmUp time in which the limit grows from the cold limit to the slots
 * @param reportLag age that health and load reports reach before they are renewed
 * @param checksFence whether it refuses requests with an epoch lower than one seen for the partition
 * @param crashHeader request header that crashes it
 * @param restartDelay time from a crash until it listens again
 * @param bodyBytes length of the padding in each response
 * @param seed seed of the service times
 */
public record BackendSettings(
        String service,
        String host,
        int port,
        int adminPort,
        Optional<String> daemonAdmin,
        int slots,
        int maxConnections,
        double serviceTimeMillis,
        double serviceTimeSpread,
        int coldLimit,
        Duration warmUp,
        Duration reportLag,
        boolean checksFence,
        String crashHeader,
        Duration restartDelay,
        int bodyBytes,
        long seed) {
    /** Request header that crashes the server unless another is set; daemons do not pass on Daisyhoist- headers. */
    public static final String DEFAULT_CRASH_HEADER = "X-Test-Crash";

    /** Returns warm settings on free ports for use inside a test. */
    public static BackendSettings forTest(String service) {
        return new BackendSettings(
                service,
                "127.0.0.1",
                0,
                0,
                Optional.empty(),
                6,
                110,
                2,
                0,
                6,
                Duration.ZERO,
                Duration.ofMillis(500),
                false,
                DEFAULT_CRASH_HEADER,
                Duration.ofMillis(200),
                64,
                1);
    }
}
