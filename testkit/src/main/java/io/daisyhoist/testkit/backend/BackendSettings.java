package io.daisyhoist.testkit.backend;

import java.time.Duration;
import java.util.Optional;

/**
 * Settings of a simulated backend server. Immutable.
 *
 * @param service service that it belongs to
 * @param host numeric address to listen on
 * @param port port for requests, health and load; 0 selects a free one
 * @param adminPort port of the admin interface; 0 selects a free one
 * @param daemonAdmin admin URL of its daemon, empty for no announcements
 * @param slots number of concurrent requests when warm
 * @param maxConnections maximum number of connections; further ones are closed immediately
 * @param serviceTimeMillis median service time in milliseconds
 * @param serviceTimeSpread sigma of the lognormal service time; 0 makes it constant
 * @param coldLimit number of concurrent requests immediately after a start
 * @param warmUp time in which the limit grows from {@code coldLimit} to {@code slots}
 * @param reportLag age at which health and load reports are refreshed
 * @param checksFence whether it rejects requests with an epoch lower than one seen for the partition
 * @param crashHeader request header that triggers a crash
 * @param restartDelay time from a crash to the restart
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
    /** Default header that triggers a crash; daemons do not forward headers with the prefix Daisyhoist-. */
    public static final String DEFAULT_CRASH_HEADER = "X-Test-Crash";

    /** Returns settings for tests: free ports and no cold start. */
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
