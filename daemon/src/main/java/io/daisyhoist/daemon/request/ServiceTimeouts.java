package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.model.ServiceName;

/** Default deadlines of the services in the effective configuration. Implementations are thread-safe. */
@FunctionalInterface
public interface ServiceTimeouts {
    /** Returns the default deadline of a request; empty if the service is unknown. */
    Optional<Duration> requestTimeout(ServiceName service);
}
