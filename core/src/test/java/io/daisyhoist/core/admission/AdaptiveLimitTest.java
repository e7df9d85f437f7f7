package io.daisyhoist.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class AdaptiveLimitTest {
    private static final int COLD_LIMIT = 2;
    private static final int SLOTS = 9;
    private static final Duration USUAL_LATENCY = Duration.ofMillis(6);

    /** A cold start this long after the previous one does not slow the growth of the limit. */
    private static final Duration BETWEEN_COLD_STARTS = Duration.ofMinutes(1);

    private final ManualTime time = new ManualTime();
    private final AdaptiveLimit limit = new AdaptiveLimit(time, COLD_LIMIT, SLOTS);

    /** Completes as many concurrent requests as the limit allows and returns the new limit. */
    private int runRound(Duration latency, Outcome outcome) {
        long start = time.monotonicNanos();
        int requests = limit.limit();
        time.advance(latency);
        for (int i = 0; i < requests; i++) {
            limit.onCompletion(start, latency, outcome);
        }
        return limit.limit();
    }

    private void warmUp() {
        for (int i = 0; i < 1_000 && limit.limit() < SLOTS; i++) {
            runRound(USUAL_LATENCY, Outcome.OK);
        }
        assertEquals(SLOTS, limit.limit());
        assertFalse(limit.isCold());
    }

    @Nested
    class Growth {
        @Test
        void onCompletion_successesAfterStart_reachesSlotsWithinFourSeconds() {
            long start = time.monotonicNanos();
            warmUp();
            Duration elapsed = Duration.ofNanos(time.monotonicNanos() - start);
            assertTrue(
                    elapsed.compareTo(AdaptiveLimit.COLD_GROWTH_INTERVAL.multipliedBy(SLOTS - COLD_LIMIT)) >= 0,
                    "took " + elapsed);
            assertTrue(elapsed.compareTo(Duration.ofSeconds(4)) < 0, "took " + elapsed);
        }

        @Test
        void onCompletion_repeatedLossAfterGrowth_growsHalfAsFast() {
            runRound(USUAL_LATENCY, Outcome.LOST);
            long[] elapsed = new long[3];
            for (int i = 0; i < 3; i++) {
                long start = time.monotonicNanos();
                for (int round = 0; round < 5_000 && limit.limit() < SLOTS; round++) {
                    runRound(USUAL_LATENCY, Outcome.OK);
                }
                elapsed[i] = time.monotonicNanos() - start;
                runRound(USUAL_LATENCY, Outcome.LOST);
            }
            assertTrue(elapsed[1] > 1.9 * elapsed[0] && elapsed[2] > 1.9 * elapsed[1], Arrays.toString(elapsed));
        }

        @Test
        void onCompletion_permanentLatencyIncrease_isEventuallyAcceptedAsUsual() {
            warmUp();
            Duration slower = USUAL_LATENCY.multipliedBy(8);
            for (int i = 0; i < 400; i++) {
                runRound(slower, Outcome.OK);
            }
            assertEquals(SLOTS, limit.limit());
        }
    }

    @Nested
    class Decrease {
        /** Guards against a change of the slots that takes effect only after a restart. */
        @Test
        void onSettings_changedSlots_decreasesAtOnceAndIncreasesGradually() {
            warmUp();
            limit.onSettings(COLD_LIMIT, SLOTS - 3);
            assertEquals(SLOTS - 3, limit.limit());
            limit.onSettings(COLD_LIMIT, SLOTS);
            assertEquals(SLOTS - 3, limit.limit());
            warmUp();
        }

        @Test
        void onCompletion_shedRound_halvesOnce() {
            warmUp();
            assertEquals(4, runRound(USUAL_LATENCY, Outcome.SHED));
            assertEquals(2, runRound(USUAL_LATENCY, Outcome.SHED));
            assertEquals(1, runRound(USUAL_LATENCY, Outcome.SHED));
            assertEquals(1, runRound(USUAL_LATENCY, Outcome.SHED));
        }

        @Test
        void onCompletion_slowRound_halvesOnceButOneSlowResponseDoesNot() {
            warmUp();
            limit.onCompletion(time.monotonicNanos(), USUAL_LATENCY.multipliedBy(50), Outcome.OK);
            assertEquals(SLOTS, limit.limit());
            assertEquals(4, runRound(USUAL_LATENCY.multipliedBy(4), Outcome.OK));
            assertFalse(limit.isCold());
        }

        @Test
        void onCompletion_spikeRefusedOrLost_returnsToColdLimit() {
            for (Outcome outcome : List.of(Outcome.OK, Outcome.CONNECTION_REFUSED, Outcome.LOST)) {
                time.advance(BETWEEN_COLD_STARTS);
                warmUp();
                Duration latency = outcome == Outcome.OK ? USUAL_LATENCY.multipliedBy(10) : USUAL_LATENCY;
                assertEquals(COLD_LIMIT, runRound(latency, outcome), outcome.name());
                assertTrue(limit.isCold());
            }
        }
    }

    /** Guards against false cold starts in a workload in which some requests take longer. */
    @Nested
    class MixedWorkload {
        @Test
        void onCompletion_oneInTenTakesTenTimesAsLong_causesNoColdStartAndFewDecreases() {
            warmUp();
            Random random = new Random(17);
            long limitSum = 0;
            for (int i = 0; i < 400_000; i++) {
                long start = time.monotonicNanos();
                time.advance(Duration.ofMillis(1));
                limit.onCompletion(start, USUAL_LATENCY.multipliedBy(random.nextInt(10) == 0 ? 10 : 1), Outcome.OK);
                assertFalse(limit.isCold(), "response " + i);
                limitSum += limit.limit();
            }
            assertTrue(limitSum > 0.9 * SLOTS * 400_000, "mean limit " + limitSum / 400_000.0);
        }
    }

    /** Guards against overloading a backend server that has become cold without reporting a restart. */
    @Nested
    class UnannouncedColdStart {
        @Test
        void onInFlight_noResponses_returnsToColdLimitBeforeFirstLateResponse() {
            warmUp();
            List<Permit> inFlight = new ArrayList<>();
            for (int i = 0; i < SLOTS; i++) {
                inFlight.add(new Permit(i, time.monotonicNanos(), false));
            }
            time.advance(USUAL_LATENCY.multipliedBy(5));
            limit.onInFlight(inFlight);
            assertEquals(SLOTS, limit.limit());
            time.advance(USUAL_LATENCY);
            limit.onInFlight(inFlight.subList(0, 4));
            assertEquals(SLOTS, limit.limit(), "too few late requests to indicate a cold start");
            limit.onInFlight(inFlight);
            assertEquals(COLD_LIMIT, limit.limit());
        }

        @Test
        void onCompletion_duringWarmUp_returnsToSlotsWithoutOscillation() {
            for (long seed = 0; seed < 50; seed++) {
                Random random = new Random(seed);
                time.advance(BETWEEN_COLD_STARTS);
                warmUp();
                List<Integer> limits = new ArrayList<>();
                Duration warmUpTime = Duration.ofMillis(1_000 + random.nextInt(4_000));
                long end = time.monotonicNanos() + warmUpTime.toNanos();
                while (time.monotonicNanos() < end) {
                    double remainingFraction = (double) (end - time.monotonicNanos()) / warmUpTime.toNanos();
                    double noise = 0.8 + 0.4 * random.nextDouble();
                    limits.add(runRound(
                            Duration.ofNanos((long) (USUAL_LATENCY.toNanos() * (1 + 11 * remainingFraction) * noise)),
                            Outcome.OK));
                }
                int coldRound = limits.indexOf(COLD_LIMIT);
                assertTrue(
                        coldRound >= 0 && coldRound <= 1, "seed " + seed + ": not detected in two rounds: " + limits);
                for (int i = coldRound + 1; i < limits.size(); i++) {
                    assertTrue(limits.get(i) >= limits.get(i - 1), "seed " + seed + ": oscillates: " + limits);
                }
                warmUp();
            }
        }
    }

    @Nested
    class Property {
        /**
         * Guards against an increase of the limit without enough successes and time since the last indication of a
         * restart.
         */
        @Test
        void anyHistory_afterRestart_growsOnlyWithSuccessesAndTime() {
            for (long seed = 0; seed < 300; seed++) {
                Random random = new Random(seed);
                long restartNanos = time.monotonicNanos();
                limit.onRestart();
                long successes = 0;
                for (int i = 0; i < 400; i++) {
                    long latencyNanos = (long) (random.nextDouble() * 50_000_000L);
                    long start = time.monotonicNanos();
                    time.advance(Duration.ofNanos(latencyNanos));
                    boolean beforeRestart = random.nextInt(10) == 0;
                    Outcome outcome = random.nextInt(8) > 0 ? Outcome.OK : Outcome.values()[random.nextInt(6)];
                    if (outcome == Outcome.CONNECTION_REFUSED || outcome == Outcome.LOST) {
                        restartNanos = time.monotonicNanos();
                        successes = 0;
                    } else if (outcome == Outcome.OK && !beforeRestart) {
                        successes++;
                    }
                    limit.onCompletion(
                            beforeRestart ? restartNanos - 1 : start, Duration.ofNanos(latencyNanos), outcome);
                    long steps = (time.monotonicNanos() - restartNanos) / AdaptiveLimit.COLD_GROWTH_INTERVAL.toNanos();
                    int maxLimit = COLD_LIMIT;
                    for (long remainingSuccesses = successes;
                            remainingSuccesses >= maxLimit && steps > 0 && maxLimit < SLOTS;
                            steps--) {
                        remainingSuccesses -= maxLimit++;
                    }
                    assertTrue(limit.limit() >= 1 && limit.limit() <= maxLimit, "seed " + seed + " step " + i);
                }
            }
        }
    }
}
