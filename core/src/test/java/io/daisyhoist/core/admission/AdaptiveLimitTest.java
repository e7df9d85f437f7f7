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
    private static final int COLD = 2;
    private static final int SLOTS = 9;
    private static final Duration USUAL = Duration.ofMillis(6);

    /** Cold starts closer to each other slow the growth. */
    private static final Duration UNRELATED = Duration.ofMinutes(1);

    private final ManualTime time = new ManualTime();
    private final AdaptiveLimit limit = new AdaptiveLimit(time, COLD, SLOTS);

    /** Runs one full round of requests and returns the limit after it. */
    private int round(Duration latency, Outcome outcome) {
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
            round(USUAL, Outcome.OK);
        }
        assertEquals(SLOTS, limit.limit());
        assertFalse(limit.isCold());
    }

    @Nested
    class Growth {
        @Test
        void onCompletion_successesAfterStart_growsOneByOneWithinFourSeconds() {
            long start = time.monotonicNanos();
            warmUp();
            Duration took = Duration.ofNanos(time.monotonicNanos() - start);
            assertTrue(took.compareTo(AdaptiveLimit.COLD_STEP.multipliedBy(SLOTS - COLD)) >= 0, "took " + took);
            assertTrue(took.compareTo(Duration.ofSeconds(4)) < 0, "took " + took);
        }

        @Test
        void onCompletion_lostShortlyAfterGrowth_growsHalfAsFastNextTime() {
            round(USUAL, Outcome.LOST);
            long[] took = new long[3];
            for (int i = 0; i < 3; i++) {
                long start = time.monotonicNanos();
                for (int round = 0; round < 5_000 && limit.limit() < SLOTS; round++) {
                    round(USUAL, Outcome.OK);
                }
                took[i] = time.monotonicNanos() - start;
                round(USUAL, Outcome.LOST);
            }
            assertTrue(took[1] > 1.9 * took[0] && took[2] > 1.9 * took[1], Arrays.toString(took));
        }

        @Test
        void onCompletion_lastingChangeOfLatency_isAcceptedAsUsualInTheEnd() {
            warmUp();
            Duration slower = USUAL.multipliedBy(8);
            for (int i = 0; i < 400; i++) {
                round(slower, Outcome.OK);
            }
            assertEquals(SLOTS, limit.limit());
        }
    }

    @Nested
    class Decrease {
        /** A change of the configuration must be in force without a restart. */
        @Test
        void onSettings_otherSlots_limitFallsAtOnceAndGrowsLater() {
            warmUp();
            limit.onSettings(COLD, SLOTS - 3);
            assertEquals(SLOTS - 3, limit.limit());
            limit.onSettings(COLD, SLOTS);
            assertEquals(SLOTS - 3, limit.limit());
            warmUp();
        }

        @Test
        void onCompletion_shedsOfOneRound_halveOnce() {
            warmUp();
            assertEquals(4, round(USUAL, Outcome.SHED));
            assertEquals(2, round(USUAL, Outcome.SHED));
            assertEquals(1, round(USUAL, Outcome.SHED));
            assertEquals(1, round(USUAL, Outcome.SHED));
        }

        @Test
        void onCompletion_slowRound_halvesOnceAndOneLongResponseDoesNot() {
            warmUp();
            limit.onCompletion(time.monotonicNanos(), USUAL.multipliedBy(50), Outcome.OK);
            assertEquals(SLOTS, limit.limit());
            assertEquals(4, round(USUAL.multipliedBy(4), Outcome.OK));
            assertFalse(limit.isCold());
        }

        @Test
        void onCompletion_jumpRefusedOrLost_returnsToTheColdLimit() {
            for (Outcome outcome : List.of(Outcome.OK, Outcome.CONNECTION_REFUSED, Outcome.LOST)) {
                time.advance(UNRELATED);
                warmUp();
                Duration latency = outcome == Outcome.OK ? USUAL.multipliedBy(10) : USUAL;
                assertEquals(COLD, round(latency, outcome), outcome.name());
                assertTrue(limit.isCold());
            }
        }
    }

    /** Guards against needless cold starts where some requests simply take longer. */
    @Nested
    class MixedWorkload {
        @Test
        void onCompletion_oneInTenTakesTenTimesAsLong_isNoColdStartAndSeldomHalved() {
            warmUp();
            Random random = new Random(17);
            long limits = 0;
            for (int i = 0; i < 400_000; i++) {
                long start = time.monotonicNanos();
                time.advance(Duration.ofMillis(1));
                limit.onCompletion(start, USUAL.multipliedBy(random.nextInt(10) == 0 ? 10 : 1), Outcome.OK);
                assertFalse(limit.isCold(), "response " + i);
                limits += limit.limit();
            }
            assertTrue(limits > 0.9 * SLOTS * 400_000, "mean limit " + limits / 400_000.0);
        }
    }

    /** Guards against an overload of a backend server that regressed to a cold start without saying so. */
    @Nested
    class UnannouncedColdStart {
        @Test
        void onInFlight_noResponseForLong_returnsToTheColdLimitBeforeTheFirstLateResponse() {
            warmUp();
            List<Permit> running = new ArrayList<>();
            for (int i = 0; i < SLOTS; i++) {
                running.add(new Permit(i, time.monotonicNanos(), false));
            }
            time.advance(USUAL.multipliedBy(5));
            limit.onInFlight(running);
            assertEquals(SLOTS, limit.limit());
            time.advance(USUAL);
            limit.onInFlight(running.subList(0, 4));
            assertEquals(SLOTS, limit.limit(), "few late requests are no sign");
            limit.onInFlight(running);
            assertEquals(COLD, limit.limit());
        }

        @Test
        void onCompletion_whileItWarmsUp_returnsToTheSlotsWithoutOscillation() {
            for (long seed = 0; seed < 50; seed++) {
                Random random = new Random(seed);
                time.advance(UNRELATED);
                warmUp();
                List<Integer> limits = new ArrayList<>();
                Duration coldFor = Duration.ofMillis(1_000 + random.nextInt(4_000));
                long end = time.monotonicNanos() + coldFor.toNanos();
                while (time.monotonicNanos() < end) {
                    double left = (double) (end - time.monotonicNanos()) / coldFor.toNanos();
                    double noise = 0.8 + 0.4 * random.nextDouble();
                    limits.add(round(Duration.ofNanos((long) (USUAL.toNanos() * (1 + 11 * left) * noise)), Outcome.OK));
                }
                int coldAt = limits.indexOf(COLD);
                assertTrue(coldAt >= 0 && coldAt <= 1, "seed " + seed + ": not noticed in two rounds: " + limits);
                for (int i = coldAt + 1; i < limits.size(); i++) {
                    assertTrue(limits.get(i) >= limits.get(i - 1), "seed " + seed + ": oscillates: " + limits);
                }
                warmUp();
            }
        }
    }

    @Nested
    class Property {
        /** Counts successes and time since the last sign of a restart, as the only ways in which the limit may grow. */
        @Test
        void anyHistory_afterARestart_growsOnlyWithSuccessesAndTime() {
            for (long seed = 0; seed < 300; seed++) {
                Random random = new Random(seed);
                long restartNanos = time.monotonicNanos();
                limit.onRestart();
                long successes = 0;
                for (int i = 0; i < 400; i++) {
                    long age = (long) (random.nextDouble() * 50_000_000L);
                    long start = time.monotonicNanos();
                    time.advance(Duration.ofNanos(age));
                    boolean beforeRestart = random.nextInt(10) == 0;
                    Outcome outcome = random.nextInt(8) > 0 ? Outcome.OK : Outcome.values()[random.nextInt(6)];
                    if (outcome == Outcome.CONNECTION_REFUSED || outcome == Outcome.LOST) {
                        restartNanos = time.monotonicNanos();
                        successes = 0;
                    } else if (outcome == Outcome.OK && !beforeRestart) {
                        successes++;
                    }
                    limit.onCompletion(beforeRestart ? restartNanos - 1 : start, Duration.ofNanos(age), outcome);
                    long steps = (time.monotonicNanos() - restartNanos) / AdaptiveLimit.COLD_STEP.toNanos();
                    int allowed = COLD;
                    for (long left = successes; left >= allowed && steps > 0 && allowed < SLOTS; steps--) {
                        left -= allowed++;
                    }
                    assertTrue(limit.limit() >= 1 && limit.limit() <= allowed, "seed " + seed + " step " + i);
                }
            }
        }
    }
}
