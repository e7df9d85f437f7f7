package io.daisyhoist.core.admission;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.daisyhoist.core.admission.LoadModel.Candidate;
import io.daisyhoist.core.admission.LoadModel.Kind;
import io.daisyhoist.core.admission.LoadModel.Pattern;
import io.daisyhoist.core.admission.LoadModel.Result;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Compares admission orders on seeded load patterns, and prints what each kind of caller gets. */
class AdmissionOrderLoadTest {
    private static final int SEEDS = 5;

    /** Differences between kinds up to this size are chance where nearly all requests are served. */
    private static final double CHANCE = 0.02;

    private static final List<Kind> KINDS = List.of(
            new Kind("call", 1, true, 0.25, 30, 120, 600),
            new Kind("detail", 1, false, 0.27, 60, 400, 1_000),
            new Kind("order", 1, false, 0.1, 320, 1_200, 5_000),
            new Kind("search", 2, false, 0.3, 180, 600, 2_500),
            new Kind("report", 2, false, 0.08, 480, 1_000, 3_000));
    private static final String MIXED = "mixed priorities";

    /** Kinds that differ only in their priority. */
    private static final List<Kind> MIXED_KINDS = List.of(
            new Kind("first", 0, false, 0.25, 150, 500, 2_000),
            new Kind("second", 1, false, 0.25, 150, 500, 2_000),
            new Kind("third", 2, false, 0.25, 150, 500, 2_000),
            new Kind("fourth", 3, false, 0.25, 150, 500, 2_000));

    private static final List<Pattern> PATTERNS = List.of(
            new Pattern("usual", 6, 0.7, 0.7, 0, 0.01, 1),
            new Pattern("burst", 6, 0.85, 1.5, 5, 0.01, 1),
            new Pattern("burst at one server", 1, 0.85, 1.5, 5, 0.01, 1),
            new Pattern("heavy tail", 6, 0.85, 1.3, 5, 0.06, 1),
            new Pattern("slow server", 6, 0.8, 0.8, 0, 0.01, 6),
            new Pattern("slow server without alternative", 1, 0.6, 0.6, 0, 0.01, 10),
            new Pattern("lasting overload", 6, 1.7, 1.7, 0, 0.01, 1),
            new Pattern(MIXED, 6, 0.85, 1.5, 5, 0.01, 1));

    private static final AdmissionOrder EARLIEST_DEADLINE =
            (later, earlier, now) -> later.priority() != earlier.priority()
                    ? later.priority() < earlier.priority()
                    : later.targetSlackNanos(now) < earlier.targetSlackNanos(now);
    private static final AdmissionOrder SHORTEST = (later, earlier, now) ->
            later.work().plannedNanos() < earlier.work().plannedNanos();
    private static final AdmissionOrder LEAST_SLACK = new AdmissionOrder() {
        @Override
        public boolean precedes(RequestCost later, RequestCost earlier, long now) {
            boolean equal = later.nested() == earlier.nested()
                    && later.priority() == earlier.priority()
                    && later.targetSlackNanos(now) >= 0 == earlier.targetSlackNanos(now) >= 0;
            return equal
                    ? later.targetSlackNanos(now) < earlier.targetSlackNanos(now)
                    : new ValuePerWorkOrder().precedes(later, earlier, now);
        }

        @Override
        public double minShareOfKind() {
            return new ValuePerWorkOrder().minShareOfKind();
        }
    };
    private static final int NO_LIMIT = 100;
    private static final List<Candidate> CANDIDATES = List.of(
            new Candidate("rank, earliest deadline", EARLIEST_DEADLINE, true, NO_LIMIT),
            new Candidate("the same, waits until deadline", EARLIEST_DEADLINE, false, NO_LIMIT),
            new Candidate("shortest job", SHORTEST, false, NO_LIMIT),
            new Candidate("limit for each kind", EARLIEST_DEADLINE, true, 4),
            new Candidate("in time first, least slack", LEAST_SLACK, false, NO_LIMIT),
            new Candidate("value per work", new ValuePerWorkOrder(), false, NO_LIMIT));

    private static Map<Kind, Result> run(Pattern pattern, Candidate candidate) {
        Map<Kind, Result> sums = new LinkedHashMap<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            new LoadModel(pattern.name().equals(MIXED) ? MIXED_KINDS : KINDS, pattern, candidate, seed)
                    .run()
                    .forEach((kind, result) ->
                            sums.computeIfAbsent(kind, any -> new Result()).add(result));
        }
        return sums;
    }

    private static double value(Map<Kind, Result> results) {
        return results.values().stream().mapToDouble(Result::value).sum()
                / results.values().stream().mapToInt(Result::sent).sum();
    }

    private static List<Pattern> patterns() {
        return PATTERNS;
    }

    /** Guards against an order that earns less than the one before, starves a kind, or serves an urgent kind worse. */
    @ParameterizedTest
    @MethodSource("patterns")
    void run_valuePerWork_losesLeast(Pattern pattern) {
        Map<Candidate, Map<Kind, Result>> results = new LinkedHashMap<>();
        CANDIDATES.forEach(candidate -> results.put(candidate, run(pattern, candidate)));
        results.forEach((candidate, byKind) -> print(pattern, candidate, byKind));
        results.values()
                .forEach(byKind -> byKind.values()
                        .forEach(result -> assertEquals(result.sent(), result.ended(), "each request ends once")));
        Map<Kind, Result> chosen = results.get(CANDIDATES.get(CANDIDATES.size() - 1));
        assertTrue(value(chosen) >= value(results.get(CANDIDATES.get(0))), "value against the order before");
        double all = chosen.values().stream()
                        .mapToDouble(result -> result.served() * result.sent())
                        .sum()
                / chosen.values().stream().mapToInt(Result::sent).sum();
        chosen.forEach((kind, result) -> assertTrue(result.served() >= all / 4, kind + " is starved: " + result));
        double urgent = leastServed(chosen, 1);
        double other = chosen.entrySet().stream()
                .filter(entry -> entry.getKey().priority() > 1)
                .mapToDouble(entry -> entry.getValue().served())
                .max()
                .orElseThrow();
        assertTrue(urgent >= other - CHANCE, "urgent " + urgent + ", other " + other);
    }

    private static double leastServed(Map<Kind, Result> results, int priority) {
        return results.entrySet().stream()
                .filter(entry -> entry.getKey().priority() == priority)
                .mapToDouble(entry -> entry.getValue().served())
                .min()
                .orElseThrow();
    }

    private static void print(Pattern pattern, Candidate candidate, Map<Kind, Result> results) {
        System.out.printf(Locale.ROOT, "%s | %s | value %.3f%n", pattern.name(), candidate.name(), value(results));
        results.forEach((kind, result) -> System.out.printf("    %-8s %s%n", kind.name(), result));
    }
}
