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
 * bound. Confined to one thread.
 */
public final class FleetRetryBudget {
    /** Part of the even share of the slack that is used; a repeated run's calls are repeats at other services. */
    private static final double SLACK_USED = 0.5;

    /** Part of the ratio that is used; the rest covers the calls that repeated runs make of other services. */
    private static final double RATIO_USED = 0.5;

    private final TimeSource time;
    private final double ratio;
    private final double slack;
    private final Duration window;
    private final Map<ServiceName, Usage> usage = new HashMap<>();

    private static final class Usage {
        private final RateWindow requests;
        private final RateWindow retries;

        private Usage(TimeSource time, Duration window) {
            requests = new RateWindow(time, window);
            retries = new RateWindow(time, window);
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
     * @param cost 1 for a request that no backend server has run, more for one whose repeated run repeats its calls
     */
    public boolean tryRetry(ServiceName service, int daemons, int cost) {
        Usage used = of(service);
        double limit = RATIO_USED * ratio * used.requests.count() + SLACK_USED * slack / Math.max(1, daemons);
        if (used.retries.count() + cost > limit) {
            return false;
        }
        for (int i = 0; i < cost; i++) {
            used.retries.record();
        }
        return true;
    }

    private Usage of(ServiceName service) {
        return usage.computeIfAbsent(service, any -> new Usage(time, window));
    }
}
