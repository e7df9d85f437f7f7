package io.daisyhoist.core.retry;

import java.time.Duration;

import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FleetRetryBudgetTest {
    private static final ServiceName SERVICE = new ServiceName("s");
    private static final int DAEMONS = 10;

    private final ManualTimeSource time = new ManualTimeSource();
    private final FleetRetryBudget budget = new FleetRetryBudget(time, 0.2, 56, Duration.ofSeconds(10));

    private int retries(int cost) {
        int allowed = 0;
        while (budget.tryRetry(SERVICE, DAEMONS, cost)) {
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
        int fleetRetries = DAEMONS * retries(1);
        assertTrue(fleetRetries <= 0.2 * DAEMONS * requests + 56, "retries " + fleetRetries);
        assertTrue(fleetRetries > 0.05 * DAEMONS * requests, "retries " + fleetRetries);
    }

    /** Guards against repeated runs whose calls exceed the budget of the service that they call. */
    @Test
    void tryRetry_repeatedRun_costsMore() {
        for (int i = 0; i < 100; i++) {
            budget.onRequest(SERVICE);
        }
        int repeatedRuns = retries(2);
        assertEquals(0, retries(2));
        assertTrue(repeatedRuns <= 6, "repeated runs " + repeatedRuns);
    }

    @Test
    void tryRetry_afterTheWindow_isAllowedAgain() {
        retries(1);
        assertFalse(budget.tryRetry(SERVICE, DAEMONS, 1));
        time.advance(Duration.ofMillis(10_001));
        assertTrue(budget.tryRetry(SERVICE, DAEMONS, 1));
    }

    /** Guards against one service's failures that use up the retries of another. */
    @Test
    void tryRetry_servicesAreSeparate() {
        retries(1);
        assertTrue(budget.tryRetry(new ServiceName("other"), DAEMONS, 1));
    }
}
