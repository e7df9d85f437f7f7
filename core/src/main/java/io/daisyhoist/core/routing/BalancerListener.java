package io.daisyhoist.core.routing;

import java.time.Duration;

import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;

/** Is told about decisions of a load balancer that concern more than one request. */
public interface BalancerListener {
    /** Ignores everything. */
    BalancerListener NONE = new BalancerListener() {
        @Override
        public void onEjected(DaemonId daemon, Duration duration) {}

        @Override
        public void onAdmittedShare(ServiceName service, double admittedShare, double rejectedShare) {}
    };

    /** Called when the backend server of a daemon is taken out of selection for the given time. */
    void onEjected(DaemonId daemon, Duration duration);

    /**
     * Called when the share of the requests to a service that is sent changes; at most twice per second and service.
     *
     * @param admittedShare share that is sent; the others are refused early
     * @param rejectedShare share that the backend servers reject; NaN if unknown
     */
    void onAdmittedShare(ServiceName service, double admittedShare, double rejectedShare);
}
