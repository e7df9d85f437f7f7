package io.daisyhoist.core.retry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

import io.daisyhoist.core.admission.ManualTime;
import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.error.RunState;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against duplicate runs, retries after the deadline and retry storms. */
class RetryRulesTest {
    private final ManualTime time = new ManualTime();
    private final Random random = new Random(11);

    private static Refusal refusal(RefusalCode code, RunState runState, long retryAfterMillis) {
        return new Refusal(code, runState, "test", Duration.ofMillis(retryAfterMillis));
    }

    @Nested
    class Retry {
        @Test
        void nextRetry_anyRefusal_onlyIfNotRunOrIdempotentAndUnknown() {
            RetryPolicy policy = new RetryPolicy(
                    new RetryBudget(time, 0, 0, 10_000), Duration.ofMillis(1), Duration.ofMillis(9), random);
            int allowed = 0;
            for (RefusalCode code : RefusalCode.values()) {
                for (RunState state : RunState.values()) {
                    for (boolean idempotent : new boolean[] {true, false}) {
                        boolean retried = policy.nextRetry(refusal(code, state, 0), idempotent, 0, Duration.ofDays(1))
                                .isPresent();
                        assertFalse(retried && state == RunState.RAN, code + " ran");
                        assertFalse(retried && state == RunState.UNKNOWN && !idempotent, code + " may have run");
                        allowed += retried ? 1 : 0;
                    }
                }
            }
            // 12 of the 20 codes are retriable: if not run, or if unknown and idempotent.
            assertEquals(12 * 3, allowed);
        }

        @Test
        void nextRetry_anyDelay_isAfterHintWithinMaxBackoffAndBeforeDeadline() {
            RetryPolicy policy = new RetryPolicy(
                    new RetryBudget(time, 0, 0, 1e9), Duration.ofMillis(10), Duration.ofSeconds(1), random);
            Duration minBackoff = Duration.ofDays(1);
            Duration maxBackoff = Duration.ZERO;
            for (int i = 0; i < 20_000; i++) {
                int retriesMade = random.nextInt(40);
                Duration remaining = Duration.ofMillis(random.nextInt(3_000));
                Optional<Duration> delay = policy.nextRetry(
                        refusal(RefusalCode.OVERLOADED, RunState.NOT_RUN, 50), true, retriesMade, remaining);
                if (delay.isPresent()) {
                    assertTrue(delay.get().compareTo(remaining) < 0);
                    Duration backoff = delay.get().minusMillis(50);
                    assertFalse(backoff.isNegative());
                    assertTrue(backoff.toMillis() <= Math.min(1_000, 10L << Math.min(20, retriesMade)));
                    minBackoff = backoff.compareTo(minBackoff) < 0 ? backoff : minBackoff;
                    maxBackoff = backoff.compareTo(maxBackoff) > 0 ? backoff : maxBackoff;
                }
            }
            // Full jitter: the whole range is used, so that delayed requests are not retried simultaneously.
            assertTrue(minBackoff.toMillis() < 20 && maxBackoff.toMillis() > 900, minBackoff + " " + maxBackoff);
        }

        /**
         * Guards against refusals during a failover, which takes seconds, because waiting requests exhaust the budget.
         */
        @Test
        void nextRetry_backendNotReached_isNotLimitedByBudget() {
            RetryPolicy policy = RetryPolicy.standard(time, random);
            for (int i = 0; i < 1_000; i++) {
                for (RefusalCode code : List.of(
                        RefusalCode.NO_OWNER,
                        RefusalCode.NOT_OWNER,
                        RefusalCode.OWNER_UNREACHABLE,
                        RefusalCode.ZONE_OUT)) {
                    Refusal waiting = refusal(code, RunState.NOT_RUN, 0);
                    assertTrue(policy.nextRetry(waiting, false, 1, Duration.ofSeconds(3))
                            .isPresent());
                }
            }
            Refusal mayHaveRun = refusal(RefusalCode.OWNER_UNREACHABLE, RunState.UNKNOWN, 0);
            long granted = IntStream.range(0, 1_000)
                    .filter(i -> policy.nextRetry(mayHaveRun, true, 1, Duration.ofSeconds(3))
                            .isPresent())
                    .count();
            assertTrue(granted <= 20, "retries that may load a backend server: " + granted);
        }

        @Test
        void nextRetry_afterDeadline_takesNothingFromBudget() {
            RetryPolicy policy =
                    new RetryPolicy(new RetryBudget(time, 0, 0, 1), Duration.ofMillis(1), Duration.ofMillis(1), random);
            Refusal late = refusal(RefusalCode.OVERLOADED, RunState.NOT_RUN, 500);
            assertEquals(Optional.empty(), policy.nextRetry(late, true, 0, Duration.ofMillis(400)));
            assertNotEquals(Optional.empty(), policy.nextRetry(late, true, 0, Duration.ofMillis(600)));
        }
    }

    @Nested
    class Budget {
        @Test
        void tryWithdraw_anyHistory_staysWithinRatioMinRateAndCapacity() {
            for (int run = 0; run < 200; run++) {
                RetryBudget budget = new RetryBudget(time, 0.1, 1, 20);
                long requests = 0;
                long withdrawals = 0;
                double seconds = 0;
                for (int i = 0; i < 2_000; i++) {
                    int choice = random.nextInt(10);
                    if (choice < 4) {
                        budget.deposit();
                        requests++;
                    } else if (choice < 5) {
                        int millis = random.nextInt(30);
                        time.advance(Duration.ofMillis(millis));
                        seconds += millis / 1_000.0;
                    } else if (budget.tryWithdraw()) {
                        withdrawals++;
                    }
                    assertTrue(withdrawals <= 0.1 * requests + seconds + 20 + 1e-6);
                }
                // Under constant demand, the budget must also not be stricter than specified.
                assertTrue(withdrawals >= 0.1 * requests + 0.9 * seconds, withdrawals + " of " + requests);
            }
        }
    }

    @Nested
    class Hedge {
        private final HedgePolicy policy = HedgePolicy.standard(time);

        @Test
        void hedgeDelay_onlyForIdempotentKeylessUnsuspectedRequests() {
            assertEquals(Optional.empty(), policy.hedgeDelay(true, false, false));
            for (int i = 1; i <= 500; i++) {
                policy.onResponse(Duration.ofMillis(i));
            }
            for (int flags = 0; flags < 8; flags++) {
                boolean idempotent = (flags & 1) != 0;
                boolean keyed = (flags & 2) != 0;
                boolean suspect = (flags & 4) != 0;
                boolean allowed = idempotent && !keyed && !suspect;
                assertEquals(
                        allowed, policy.hedgeDelay(idempotent, keyed, suspect).isPresent());
            }
            long delayMillis =
                    policy.hedgeDelay(true, false, false).orElseThrow().toMillis();
            // The 95th percentile of at least 1 to 480, since the percentiles are recomputed periodically.
            assertTrue(delayMillis >= 456 && delayMillis <= 476, "delay " + delayMillis);
        }

        @Test
        void tryHedge_constantDemand_staysWithinFivePercent() {
            int hedges = 0;
            for (int i = 0; i < 10_000; i++) {
                policy.onRequest();
                hedges += policy.tryHedge() ? 1 : 0;
            }
            assertTrue(hedges <= 500 + 20 && hedges >= 490, "hedges " + hedges);
        }
    }
}
