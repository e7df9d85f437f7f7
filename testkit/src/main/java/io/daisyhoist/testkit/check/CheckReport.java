package io.daisyhoist.testkit.check;

import java.util.List;
import java.util.stream.Stream;

import io.vertx.core.json.JsonObject;

/**
 * Violations found in execution logs and request outcomes; each list describes the cases of one kind. Immutable.
 *
 * @param executions number of executions checked
 * @param duplicateRuns at-most-once requests that were started more than once, or that were answered without an attempt
 *     token
 * @param ownershipViolations executions under an epoch lower than one already seen for the partition, or under one that
 *     another backend server used first
 * @param overlappingRuns executions for one partition at two backend servers at the same time
 * @param falseNotRunClaims sends that were executed although the response stated that they did not run
 * @param answersWithoutRun answered requests without a finished execution
 */
public record CheckReport(
        int executions,
        List<String> duplicateRuns,
        List<String> ownershipViolations,
        List<String> overlappingRuns,
        List<String> falseNotRunClaims,
        List<String> answersWithoutRun) {
    /** Copies the lists. */
    public CheckReport {
        duplicateRuns = List.copyOf(duplicateRuns);
        ownershipViolations = List.copyOf(ownershipViolations);
        overlappingRuns = List.copyOf(overlappingRuns);
        falseNotRunClaims = List.copyOf(falseNotRunClaims);
        answersWithoutRun = List.copyOf(answersWithoutRun);
    }

    /** Returns whether no violation was found. */
    public boolean isClean() {
        return Stream.of(duplicateRuns, ownershipViolations, overlappingRuns, falseNotRunClaims, answersWithoutRun)
                .allMatch(List::isEmpty);
    }

    /** Returns the counts as JSON. */
    public JsonObject toJson() {
        return new JsonObject()
                .put("executions", executions)
                .put("double_runs", duplicateRuns.size())
                .put("owners_doubled", ownershipViolations.size())
                .put("overlapping_runs", overlappingRuns.size())
                .put("false_not_run", falseNotRunClaims.size())
                .put("unfounded_answers", answersWithoutRun.size());
    }

    /** Returns the counts and the first cases of each kind, one per line. */
    public String describe() {
        StringBuilder text = new StringBuilder(toJson().encode());
        appendCases(text, "double_run", duplicateRuns);
        appendCases(text, "owner_doubled", ownershipViolations);
        appendCases(text, "overlapping_run", overlappingRuns);
        appendCases(text, "false_not_run", falseNotRunClaims);
        appendCases(text, "unfounded_answer", answersWithoutRun);
        return text.toString();
    }

    private static void appendCases(StringBuilder text, String kind, List<String> cases) {
        cases.stream()
                .limit(5)
                .forEach(found ->
                        text.append("\nevent=").append(kind).append(' ').append(found));
    }
}
