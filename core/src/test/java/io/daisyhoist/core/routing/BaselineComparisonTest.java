package io.daisyhoist.core.routing;

import java.time.Duration;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import io.daisyhoist.core.admission.AdaptiveLimit;
import io.daisyhoist.core.admission.ConcurrencyLimit;
import io.daisyhoist.core.admission.SlotLimit;
import io.daisyhoist.core.model.AvailabilityZone;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Compares the routing and admission algorithms with their baselines in a deterministic simulation of a service of
 * typical size. Guards against changes that make an algorithm no better than its baseline.
 */
class BaselineComparisonTest {
    private static final int SEEDS = 3;
    private static final int[][] SIZES = {{3, 6}, {6, 9}, {10, 6}};
    private static final AvailabilityZone ZONE = new AvailabilityZone("a");

    private static void print(String format, Object... values) {
        System.out.printf(format + "%n", values);
    }

    @Test
    void powerOfTwoChoices_temporarySlowdowns_hasLowerTailLatencyThanRoundRobinAndRandom() {
        Map<String, Function<RandomGenerator, BackendSelector>> selectors = new TreeMap<>(Map.of(
                "power-of-two", random -> new PowerOfTwoChoices(ZONE, random),
                "round-robin", random -> new RoundRobinSelector(),
                "random", RandomSelector::new));
        print("%-8s %-13s %5s %8s %8s %9s", "servers", "selection", "load", "p50 ms", "p99 ms", "imbalance");
        for (int[] size : SIZES) {
            Map<String, double[]> means = new TreeMap<>();
            selectors.forEach((name, selector) -> {
                double[] mean = new double[3];
                for (long seed = 0; seed < SEEDS; seed++) {
                    SimulatedFleet.Result result = new SimulatedFleet(seed, size[0], size[1], 0.6, false, selector)
                            .withTemporarySlowdowns()
                            .run();
                    mean[0] += result.p50Millis() / SEEDS;
                    mean[1] += result.p99Millis() / SEEDS;
                    mean[2] += result.imbalance() / SEEDS;
                }
                means.put(name, mean);
                print("%dx%-6d %-13s %5.2f %8.1f %8.1f %9.2f", size[0], size[1], name, 0.6, mean[0], mean[1], mean[2]);
            });
            double[] powerOfTwo = means.get("power-of-two");
            for (String baseline : new String[] {"round-robin", "random"}) {
                assertTrue(powerOfTwo[1] < 0.8 * means.get(baseline)[1], "p99 against " + baseline);
                assertTrue(powerOfTwo[2] < means.get(baseline)[2], "imbalance against " + baseline);
            }
        }
    }

    @Test
    void hedging_oneSlowServer_reducesTailLatencyWithinBudget() {
        print("%-8s %-8s %8s %8s %7s", "servers", "hedging", "p50 ms", "p99 ms", "hedges");
        for (int[] size : SIZES) {
            double[] p99 = new double[2];
            for (int on = 0; on < 2; on++) {
                double p50 = 0;
                double share = 0;
                for (long seed = 0; seed < SEEDS; seed++) {
                    SimulatedFleet.Result result = new SimulatedFleet(
                                    seed, size[0], size[1], 0.4, on == 1, random -> new PowerOfTwoChoices(ZONE, random))
                            .withSlowServer()
                            .run();
                    p50 += result.p50Millis() / SEEDS;
                    p99[on] += result.p99Millis() / SEEDS;
                    share = Math.max(share, result.hedgeShare());
                }
                print("%dx%-6d %-8s %8.1f %8.1f %6.2f%%", size[0], size[1], on == 1, p50, p99[on], 100 * share);
                assertTrue(share <= 0.06, "hedges " + share);
            }
            assertTrue(p99[1] < 0.8 * p99[0], "p99 with hedging");
        }
    }

    private record ColdStart(int answered, int failed, int failures, double overloadMillis) {
        String row() {
            return String.format("%9d %7d %9d %12.0f", answered, failed, failures, overloadMillis);
        }
    }

    private static ColdStart coldStart(
            long seed, double atMillis, double warmUpMillis, Function<SimulatedTime, ConcurrencyLimit> limit) {
        SimulatedTime time = new SimulatedTime();
        Random random = new Random(seed);
        SimulatedBackend backend = new SimulatedBackend(time, random, limit.apply(time), 9, 6);
        backend.warmUpMillis = warmUpMillis;
        int[] counts = new int[2];
        double meanInterarrivalMillis = 6 / (0.5 * 9);
        Runnable[] arrive = new Runnable[1];
        arrive[0] = () -> {
            boolean counted = time.nowMillis() >= atMillis;
            backend.send(Duration.ofSeconds(1), () -> counts[0] += counted ? 1 : 0, () -> counts[1] += counted ? 1 : 0);
            time.after(-meanInterarrivalMillis * Math.log(1 - random.nextDouble()), arrive[0]);
        };
        arrive[0].run();
        time.after(atMillis, backend::startCold);
        time.runUntil(Duration.ofMillis((long) atMillis + 15_000));
        return new ColdStart(counts[0], counts[1], backend.failures, backend.overloadMillis);
    }

    @Test
    void adaptiveLimit_unannouncedColdStart_preventsServerFailure() {
        print("%-9s %5s %9s %7s %9s %12s", "limit", "seed", "answered", "failed", "failures", "overload ms");
        for (long seed = 0; seed < 6; seed++) {
            ColdStart fixed = coldStart(seed, 5_000, 2_000, time -> new SlotLimit(9));
            ColdStart adaptive = coldStart(seed, 5_000, 2_000, time -> new AdaptiveLimit(time, 2, 9));
            print("%-9s %5d %s", "fixed", seed, fixed.row());
            print("%-9s %5d %s", "adaptive", seed, adaptive.row());
            assertEquals(0, adaptive.failures(), "seed " + seed);
            assertTrue(fixed.failures() > 0, "the baseline does not fail, so the model shows nothing: seed " + seed);
            assertTrue(adaptive.answered() > fixed.answered(), "seed " + seed);
        }
    }

    @Test
    void adaptiveLimit_startedWithColdServer_recoversWithoutServerFailureIfUsualLatencyIsKnown() {
        print("%-8s %8s %9s %9s", "latency", "warm-up", "answered", "failures");
        for (double warmUpMillis : new double[] {2_000, 5_000, 10_000}) {
            for (Duration usualLatency : new Duration[] {Duration.ZERO, Duration.ofMillis(6)}) {
                int answered = 0;
                int failures = 0;
                for (long seed = 0; seed < 6; seed++) {
                    ColdStart measured =
                            coldStart(seed, 0, warmUpMillis, time -> new AdaptiveLimit(time, 2, 9, usualLatency));
                    answered += measured.answered() / 6;
                    failures += measured.failures();
                    boolean fastWarmUp = warmUpMillis <= 2_000;
                    // Without a known latency, a slow warm-up is detected only by failures; each doubles the growth
                    // interval.
                    assertTrue(
                            measured.failures() <= (fastWarmUp || !usualLatency.isZero() ? 0 : 3),
                            "seed " + seed + " " + measured);
                }
                print("%-8s %8.0f %9d %9d", usualLatency, warmUpMillis, answered, failures);
            }
        }
    }
}
