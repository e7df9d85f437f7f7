package io.daisyhoist.core.retry;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import io.daisyhoist.core.admission.RateWindow;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.TimeSource;

/**
 * This daemon's part of the retries that all daemons may send to each service.
 *
 * <p>Invariant: in any window, the retries to a service are at most {@code ratio} times the requests for it plus this
 * daemon's share of the slack, counted over the same window; so the sum over all daemons stays within the fleet's
 * bound. A repeated run makes its calls to other services again, which count as retries there, so it is charged to those
 * too. Confined to one thread.
 */
public final class FleetRetryBudget {
    /** Part of the even share of the slack that is used; a daemon that restarts within a window uses its share again. */
    private static final double SLACK_USED = 0.6;

    /** Part of the ratio that is used; the rest covers requests that end before the window of their retries. */
    private static final double RATIO_USED = 0.8;

    /** Part of the used budget that repeated runs may take, since each may repeat calls to another service besides. */
    private static final double REPEATED_RUNS = 0.45;

    /** Calls to one other service that a repeated run may make again. */
    private static final int CALLS_OF_A_RUN = 2;

    private final TimeSource time;
    private final double ratio;
    private final double slack;
    private final Duration window;
    private final Map<ServiceName, Usage> usage = new HashMap<>();

    private static final class Usage {
        private final RateWindow requests;
        private final RateWindow retries;
        private final RateWindow repeatedRuns;

        private Usage(TimeSource time, Duration window) {
            requests = new RateWindow(time, window);
            retries = new RateWindow(time, window);
            repeatedRuns = new RateWindow(time, window);
        }

        private void chargeCalls() {
            for (int i = 0; i < CALLS_OF_A_RUN; i++) {
                retries.record();
            }
        }
    }

    /**
     * Creates a budget without use.
     *
     * @param ratio retries per request over the whole fleet
     * @param slack retries in a window that are allowed without requests, over the whole fleet
     * @param window length of the window
     */
    public FleetRetryBudget(TimeSource time, double ratio, double slack, Duration window) {
        this.time = time;
        this.ratio = ratio;
        this.slack = slack;
        this.window = window;
    }

    /** Counts a request for a service. */
    public void onRequest(ServiceName service) {
        of(service).requests.record();
    }

    /**
     * Takes a retry from the budget.
     *
     * @param daemons number of daemons that share the slack
     * @param repeatsRun whether a backend server may have run the request already
     */
    public boolean tryRetry(ServiceName service, int daemons, boolean repeatsRun) {
        Usage used = of(service);
        double limit = RATIO_USED * ratio * used.requests.count() + SLACK_USED * slack / Math.max(1, daemons);
        if (used.retries.count() + 1 > limit) {
            return false;
        }
        if (repeatsRun && used.repeatedRuns.count() + 1 > REPEATED_RUNS * limit) {
            return false;
        }
        used.retries.record();
        if (repeatsRun) {
            used.repeatedRuns.record();
            usage.forEach((called, others) -> {
                if (!called.equals(service)) {
                    others.chargeCalls();
                }
            });
        }
        return true;
    }

    private Usage of(ServiceName service) {
        return usage.computeIfAbsent(service, any -> new Usage(time, window));
    }
}
