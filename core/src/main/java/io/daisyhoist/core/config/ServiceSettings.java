package io.daisyhoist.core.config;

import java.time.Duration;
import java.util.Set;

import io.daisyhoist.core.model.ServiceName;

/**
 * Rules for one service. Immutable.
 *
 * @param name the service
 * @param keyed whether the service's keys are divided among its backend servers
 * @param partitions number of hash ranges; fixed for the life of the service
 * @param slots requests that one backend server can run at once
 * @param maxConnections connections that one backend server accepts
 * @param coldLimit requests at once to a backend server in a cold start
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

    /** Returns whether a request with this method may be run again. */
    public boolean isRepeatable(String method) {
        return !unrepeatableMethods.contains(method);
    }
}
