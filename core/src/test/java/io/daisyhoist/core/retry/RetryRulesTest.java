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

/** Guards against second runs, retries past the deadline and retry storms. */
class RetryRulesTest {
    private final ManualTime time = new ManualTime();
    private final Random random = new Random(11);

    private static Refusal refusal(RefusalCode code, RunState runState, long retryAfterMillis) {
        return new Refusal(code, runState, "test", Duration.ofMillis(retryAfterMillis));
    }

    @Nested
    class Retry {
        @Test
        void nextRetry_ofAnyRefusal_onlyIfNotRunOrRepeatableAndUnknown() {
            RetryPolicy policy = new RetryPolicy(
                    new RetryBudget(time, 0, 0, 10_000), Duration.ofMillis(1), Duration.ofMillis(9), random);
            int allowed = 0;
            for (RefusalCode code : RefusalCode.values()) {
                for (RunState state : RunState.values()) {
                    for (boolean repeatable : new boolean[] {true, false}) {
                        boolean retried = policy.nextRetry(refusal(code, state, 0), repeatable, 0, Duration.ofDays(1))
                                .isPresent();
                        assertFalse(retried && state == RunState.RAN, code + " ran");
                        assertFalse(retried && state == RunState.UNKNOWN && !repeatable, code + " may have run");
                        allowed += retried ? 1 : 0;
                    }
                }
            }
            // 12 of the 20 codes are worth another attempt: not run, or unknown and repeatable.
            assertEquals(12 * 3, allowed);
        }

        @Test
        void nextRetry_anyWait_isAfterTheHintWithinTheCeilingAndBeforeTheDeadline() {
            RetryPolicy policy = new RetryPolicy(
                    new RetryBudget(time, 0, 0, 1e9), Duration.ofMillis(10), Duration.ofSeconds(1), random);
            Duration shortest = Duration.ofDays(1);
            Duration longest = Duration.ZERO;
            for (int i = 0; i < 20_000; i++) {
                int retriesMade = random.nextInt(40);
                Duration remaining = Duration.ofMillis(random.nextInt(3_000));
                Optional<Duration> wait = policy.nextRetry(
                        refusal(RefusalCode.OVERLOADED, RunState.NOT_RUN, 50), true, retriesMade, remaining);
                if (wait.isPresent()) {
                    assertTrue(wait.get().compareTo(remaining) < 0);
                    Duration backoff = wait.get().minusMillis(50);
                    assertFalse(backoff.isNegative());
                    assertTrue(backoff.toMillis() <= Math.min(1_000, 10L << Math.min(20, retriesMade)));
                    shortest = backoff.compareTo(shortest) < 0 ? backoff : shortest;
                    longest = backoff.compareTo(longest) > 0 ? backoff : longest;
                }
            }
            // Full jitter: the whole range is used, so that waiting requests do not return together.
            assertTrue(shortest.toMillis() < 20 && longest.toMillis() > 900, shortest + " " + longest);
        }

        /** A failover takes seconds; requests that wait for it must not use up the budget and be refused. */
        @Test
        void nextRetry_noBackendServerReached_isNotBoundByTheBudget() {
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
        void nextRetry_beyondTheDeadline_takesNothingFromTheBudget() {
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
        void tryWithdraw_anyHistory_staysWithinShareFloorAndCapacity() {
            for (int run = 0; run < 200; run++) {
                RetryBudget budget = new RetryBudget(time, 0.1, 1, 20);
                long deposits = 0;
                long withdrawals = 0;
                double seconds = 0;
                for (int i = 0; i < 2_000; i++) {
                    int dice = random.nextInt(10);
                    if (dice < 4) {
                        budget.deposit();
                        deposits++;
                    } else if (dice < 5) {
                        int millis = random.nextInt(30);
                        time.advance(Duration.ofMillis(millis));
                        seconds += millis / 1_000.0;
                    } else if (budget.tryWithdraw()) {
                        withdrawals++;
                    }
                    assertTrue(withdrawals <= 0.1 * deposits + seconds + 20 + 1e-6);
                }
                // The budget may not be stricter than promised either, when it is always in demand.
                assertTrue(withdrawals >= 0.1 * deposits + 0.9 * seconds, withdrawals + " of " + deposits);
            }
        }
    }

    @Nested
    class Hedge {
        private final HedgePolicy policy = HedgePolicy.standard(time);

        @Test
        void hedgeDelay_onlyForRepeatableKeylessUnsuspected() {
            assertEquals(Optional.empty(), policy.hedgeDelay(true, false, false));
            for (int i = 1; i <= 500; i++) {
                policy.onResponse(Duration.ofMillis(i));
            }
            for (int flags = 0; flags < 8; flags++) {
                boolean repeatable = (flags & 1) != 0;
                boolean keyed = (flags & 2) != 0;
                boolean suspect = (flags & 4) != 0;
                boolean allowed = repeatable && !keyed && !suspect;
                assertEquals(
                        allowed, policy.hedgeDelay(repeatable, keyed, suspect).isPresent());
            }
            long delayMillis =
                    policy.hedgeDelay(true, false, false).orElseThrow().toMillis();
            // The 95th percentile of 1 to 480 or more, as the window is refreshed now and then.
            assertTrue(delayMillis >= 456 && delayMillis <= 476, "delay " + delayMillis);
        }

        @Test
        void tryHedge_alwaysInDemand_staysWithinFivePercent() {
            int hedges = 0;
            for (int i = 0; i < 10_000; i++) {
                policy.onRequest();
                hedges += policy.tryHedge() ? 1 : 0;
            }
            assertTrue(hedges <= 500 + 20 && hedges >= 490, "hedges " + hedges);
        }
    }
}
