package io.daisyhoist.core.retry;

import java.time.Duration;

import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.ManualTimeSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FleetRetryBudgetTest {
    private static final ServiceName SERVICE = new ServiceName("s");
    private static final int DAEMONS = 10;
    private static final Duration WINDOW = Duration.ofSeconds(10);

    private final ManualTimeSource time = new ManualTimeSource();
    private final FleetRetryBudget budget = new FleetRetryBudget(time, 0.2, 56, WINDOW);

    private static final ServiceName CALLED = new ServiceName("called");

    /** The slack is available once a daemon has run for one window. */
    @BeforeEach
    void waitForSlack() {
        time.advance(WINDOW);
    }

    private int exhaustBudget(ServiceName service, boolean repeatsRun) {
        int allowed = 0;
        while (budget.tryRetry(service, DAEMONS, repeatsRun)) {
            allowed++;
        }
        return allowed;
    }

    /** Guards against daemons that together exceed the budget of the fleet when every request fails everywhere. */
    @Test
    void tryRetry_allRequestsFail_staysWithinFleetBudget() {
        int requests = 200;
        for (int i = 0; i < requests; i++) {
            budget.onRequest(SERVICE);
        }
        int fleetRetries = DAEMONS * exhaustBudget(SERVICE, false);
        assertTrue(fleetRetries <= 0.2 * DAEMONS * requests + 56, "retries " + fleetRetries);
        assertTrue(fleetRetries > 0.05 * DAEMONS * requests, "retries " + fleetRetries);
    }

    /** Guards against giving up on rejected requests although the budget allows retries. */
    @Test
    void tryRetry_rejectedRequests_useMostOfRatio() {
        for (int i = 0; i < 1_000; i++) {
            budget.onRequest(SERVICE);
        }
        assertTrue(exhaustBudget(SERVICE, false) >= 150);
    }

    /** Guards against repeated runs whose calls exceed the budget of the called service. */
    @Test
    void tryRetry_repeatedRuns_areChargedToCalledServices() {
        int requests = 100;
        for (int i = 0; i < requests; i++) {
            budget.onRequest(SERVICE);
            budget.onRequest(CALLED);
        }
        int callsPerRun = 2;
        int repeatedCalls = callsPerRun * exhaustBudget(SERVICE, true);
        assertTrue(repeatedCalls > 0);
        int totalRetries = repeatedCalls + exhaustBudget(CALLED, false);
        assertTrue(totalRetries <= 0.2 * requests + 56.0 / DAEMONS, "repeats at the called service " + totalRetries);
    }

    @Test
    void tryRetry_afterWindow_isAllowedAgain() {
        exhaustBudget(SERVICE, false);
        assertFalse(budget.tryRetry(SERVICE, DAEMONS, false));
        time.advance(Duration.ofMillis(10_001));
        assertTrue(budget.tryRetry(SERVICE, DAEMONS, false));
    }

    /** Guards against failures of one service that exhaust the budget of another. */
    @Test
    void tryRetry_otherServiceExhausted_isAllowed() {
        exhaustBudget(SERVICE, false);
        assertTrue(budget.tryRetry(new ServiceName("other"), DAEMONS, false));
    }

    /** Guards against a daemon that restarts in a loop and takes its share of the slack each time. */
    @Test
    void tryRetry_restartedRepeatedly_staysWithinShareOfSlack() {
        int retries = 0;
        for (int restart = 0; restart < 10; restart++) {
            FleetRetryBudget restarted = new FleetRetryBudget(time, 0.2, 56, WINDOW);
            assertFalse(restarted.tryRetry(SERVICE, DAEMONS, false));
            time.advance(WINDOW.dividedBy(10));
            while (restarted.tryRetry(SERVICE, DAEMONS, false)) {
                retries++;
            }
        }
        assertTrue(retries <= 56 / DAEMONS, "retries " + retries);
    }

    /** Guards against a share of the slack that a daemon never gets. */
    @Test
    void tryRetry_oneWindowAfterStart_usesShareOfSlack() {
        FleetRetryBudget started = new FleetRetryBudget(time, 0.2, 56, WINDOW);
        time.advance(WINDOW);
        assertTrue(started.tryRetry(SERVICE, DAEMONS, false));
    }
}
