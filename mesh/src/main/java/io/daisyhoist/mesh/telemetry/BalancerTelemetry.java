package io.daisyhoist.mesh.telemetry;

import java.time.Duration;
import java.util.Locale;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.routing.BalancerListener;

/** Logs and counts decisions of the load balancer that concern more than one request. Thread-safe. */
public final class BalancerTelemetry implements BalancerListener {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final FleetMetrics metrics;

    public BalancerTelemetry(FleetMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public void onEjected(DaemonId daemon, Duration duration) {
        metrics.onEjection();
        LOGGER.atWarning().log("event=backend_ejected member=%s duration_ms=%d", daemon, duration.toMillis());
    }

    @Override
    public void onAdmittedShare(ServiceName service, double admittedShare, double rejectedShare) {
        LOGGER.atWarning().log(
                "event=early_refusal service=%s admitted=%s rejected=%s",
                service, format(admittedShare), format(rejectedShare));
    }

    private static String format(double share) {
        return String.format(Locale.ROOT, "%.2f", share);
    }
}
