package io.daisyhoist.core.retry;

import java.time.Duration;

import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FleetRetryBudgetTest {
    private static final ServiceName SERVICE = new ServiceName("s");
    private static final int DAEMONS = 10;

    private final ManualTimeSource time = new ManualTimeSource();
    private final FleetRetryBudget budget = new FleetRetryBudget(time, 0.2, 56, Duration.ofSeconds(10));

    private static final ServiceName CALLED = new ServiceName("called");

    private int retries(ServiceName service, boolean repeatsRun) {
        int allowed = 0;
        while (budget.tryRetry(service, DAEMONS, repeatsRun)) {
            allowed++;
        }
        return allowed;
    }

    /** Guards against daemons that together use up more than the fleet may, when each request fails everywhere. */
    @Test
    void tryRetry_allRequestsFailEverywhere_staysInsideTheFleetsBudget() {
        int requests = 200;
        for (int i = 0; i < requests; i++) {
            budget.onRequest(SERVICE);
        }
        int fleetRetries = DAEMONS * retries(SERVICE, false);
        assertTrue(fleetRetries <= 0.2 * DAEMONS * requests + 56, "retries " + fleetRetries);
        assertTrue(fleetRetries > 0.05 * DAEMONS * requests, "retries " + fleetRetries);
    }

    /** Guards against rejections by every backend server that are given up although the budget has room. */
    @Test
    void tryRetry_rejectedRequests_useMostOfTheRatio() {
        for (int i = 0; i < 1_000; i++) {
            budget.onRequest(SERVICE);
        }
        assertTrue(retries(SERVICE, false) >= 150);
    }

    /** Guards against repeated runs whose calls exceed the budget of the service that they call. */
    @Test
    void tryRetry_repeatedRuns_takeFromTheServicesThatTheyCall() {
        int requests = 100;
        for (int i = 0; i < requests; i++) {
            budget.onRequest(SERVICE);
            budget.onRequest(CALLED);
        }
        int callsPerRun = 2;
        int repeatedCalls = callsPerRun * retries(SERVICE, true);
        assertTrue(repeatedCalls > 0);
        int all = repeatedCalls + retries(CALLED, false);
        assertTrue(all <= 0.2 * requests + 56.0 / DAEMONS, "repeats at the called service " + all);
    }

    @Test
    void tryRetry_afterTheWindow_isAllowedAgain() {
        retries(SERVICE, false);
        assertFalse(budget.tryRetry(SERVICE, DAEMONS, false));
        time.advance(Duration.ofMillis(10_001));
        assertTrue(budget.tryRetry(SERVICE, DAEMONS, false));
    }

    /** Guards against one service's failures that use up the retries of another. */
    @Test
    void tryRetry_servicesAreSeparate() {
        retries(SERVICE, false);
        assertTrue(budget.tryRetry(new ServiceName("other"), DAEMONS, false));
    }
}
