package io.daisyhoist.core.config;

import java.time.Duration;
import java.util.Set;

import io.daisyhoist.core.model.ServiceName;

/**
 * Settings of one service. Immutable.
 *
 * @param name the service
 * @param keyed whether the service's keys are partitioned among its backend servers
 * @param partitions number of hash ranges; fixed for the lifetime of the service
 * @param slots number of requests that one backend server can run concurrently
 * @param maxConnections number of connections that one backend server accepts
 * @param coldLimit number of concurrent requests to a backend server during a cold start
 * @param checksFence whether the backend servers refuse a request whose fencing token is older than one they have seen
 * @param unrepeatableMethods HTTP methods whose requests must run at most once
 * @param requestTimeout default deadline of a request
 */
public record ServiceSettings(
        ServiceName name,
        boolean keyed,
        int partitions,
        int slots,
        int maxConnections,
        int coldLimit,
        boolean checksFence,
        Set<String> unrepeatableMethods,
        Duration requestTimeout) {
    /** Copies the set. */
    public ServiceSettings {
        unrepeatableMethods = Set.copyOf(unrepeatableMethods);
    }

    /** Returns whether a request with this method may run more than once. */
    public boolean isRepeatable(String method) {
        return !unrepeatableMethods.contains(method);
    }
}
