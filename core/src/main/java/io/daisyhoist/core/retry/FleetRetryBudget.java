package io.daisyhoist.core.retry;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import io.daisyhoist.core.admission.SlidingWindowCounter;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.TimeSource;

/**
 * This daemon's share of a fleet-wide retry budget for each service.
 *
 * <p>Invariant: in any window, the retries to a service are at most {@code ratio} times the requests to it plus this
 * daemon's share of the slack, counted over the same window; so the sum over all daemons stays within the budget of the
 * fleet. A repeated run repeats its calls to other services, which count as retries there, so it is also charged to the
 * budgets of the other services. Confined to one thread.
 */
public final class FleetRetryBudget {
    /**
     * Fraction of a daemon's share of the slack that is used, since a daemon that restarts within a window uses it
     * again.
     */
    private static final double SLACK_UTILIZATION = 0.6;

    /** Fraction of the ratio that is used; the rest covers requests that leave the window before their retries. */
    private static final double RATIO_UTILIZATION = 0.8;

    /** Maximum share of repeated runs in the limit, since each may also repeat calls to other services. */
    private static final double MAX_REPEATED_RUN_SHARE = 0.45;

    /** Calls to each other service that a repeated run is assumed to repeat. */
    private static final int CALLS_PER_REPEATED_RUN = 2;

    private final TimeSource time;
    private final double ratio;
    private final double slack;
    private final Duration window;
    private final long createdNanos;
    private final Map<ServiceName, Usage> usageByService = new HashMap<>();

    private static final class Usage {
        private final SlidingWindowCounter requests;
        private final SlidingWindowCounter retries;
        private final SlidingWindowCounter repeatedRuns;

        private Usage(TimeSource time, Duration window) {
            requests = new SlidingWindowCounter(time, window);
            retries = new SlidingWindowCounter(time, window);
            repeatedRuns = new SlidingWindowCounter(time, window);
        }

        private void chargeRepeatedCalls() {
            for (int i = 0; i < CALLS_PER_REPEATED_RUN; i++) {
                retries.record();
            }
        }
    }

    /**
     * Creates an empty budget, which gets its share of the slack in the course of one window, because an earlier process of
     * this daemon may have used it.
     *
     * @param ratio retries per request in the whole fleet
     * @param slack retries per window that are allowed in addition, in the whole fleet
     * @param window length of the sliding window
     */
    public FleetRetryBudget(TimeSource time, double ratio, double slack, Duration window) {
        this.time = time;
        this.ratio = ratio;
        this.slack = slack;
        this.window = window;
        this.createdNanos = time.monotonicNanos();
    }

    /** Records a request to a service. */
    public void onRequest(ServiceName service) {
        usageOf(service).requests.record();
    }

    /**
     * Takes a retry from the budget; returns false if it is exhausted.
     *
     * @param daemons number of daemons that share the slack
     * @param repeatsRun whether a backend server may have run the request already
     */
    public boolean tryRetry(ServiceName service, int daemons, boolean repeatsRun) {
        Usage serviceUsage = usageOf(service);
        double limit = RATIO_UTILIZATION * ratio * serviceUsage.requests.count()
                + SLACK_UTILIZATION * slack * availableSlackShare() / Math.max(1, daemons);
        if (serviceUsage.retries.count() + 1 > limit) {
            return false;
        }
        if (repeatsRun && serviceUsage.repeatedRuns.count() + 1 > MAX_REPEATED_RUN_SHARE * limit) {
            return false;
        }
        serviceUsage.retries.record();
        if (repeatsRun) {
            serviceUsage.repeatedRuns.record();
            usageByService.forEach((otherService, otherUsage) -> {
                if (!otherService.equals(service)) {
                    otherUsage.chargeRepeatedCalls();
                }
            });
        }
        return true;
    }

    private double availableSlackShare() {
        return Math.min(1, (double) (time.monotonicNanos() - createdNanos) / window.toNanos());
    }

    private Usage usageOf(ServiceName service) {
        return usageByService.computeIfAbsent(service, any -> new Usage(time, window));
    }
}
