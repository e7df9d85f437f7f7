package io.daisyhoist.testkit.check;

import java.util.List;
import java.util.stream.Stream;

import io.vertx.core.json.JsonObject;

/**
 * Violations found in execution logs and request outcomes; each list describes the cases of one kind. Immutable.
 *
 * @param executions number of executions checked
 * @param duplicateExecutions at-most-once requests that were started more than once, or that received a complete
 *     response although they carried no attempt token
 * @param ownershipViolations executions under an epoch lower than one already seen for the partition, or under one that
 *     another backend server used first
 * @param overlappingExecutions executions for one partition at two backend servers at the same time
 * @param falseNotRunClaims sends that were executed although the response stated the run state {@code not-run}
 * @param responsesWithoutExecution requests with a complete response but without a finished execution
 */
public record CheckReport(
        int executions,
        List<String> duplicateExecutions,
        List<String> ownershipViolations,
        List<String> overlappingExecutions,
        List<String> falseNotRunClaims,
        List<String> responsesWithoutExecution) {
    /** Copies the lists. */
    public CheckReport {
        duplicateExecutions = List.copyOf(duplicateExecutions);
        ownershipViolations = List.copyOf(ownershipViolations);
        overlappingExecutions = List.copyOf(overlappingExecutions);
        falseNotRunClaims = List.copyOf(falseNotRunClaims);
        responsesWithoutExecution = List.copyOf(responsesWithoutExecution);
    }

    /** Returns whether no violation was found. */
    public boolean isClean() {
        return Stream.of(
                        duplicateExecutions,
                        ownershipViolations,
                        overlappingExecutions,
                        falseNotRunClaims,
                        responsesWithoutExecution)
                .allMatch(List::isEmpty);
    }

    /** Returns the counts as JSON. */
    public JsonObject toJson() {
        return new JsonObject()
                .put("executions", executions)
                .put("double_runs", duplicateExecutions.size())
                .put("owners_doubled", ownershipViolations.size())
                .put("overlapping_runs", overlappingExecutions.size())
                .put("false_not_run", falseNotRunClaims.size())
                .put("unfounded_answers", responsesWithoutExecution.size());
    }

    /** Returns the counts and the first cases of each kind, one per line. */
    public String describe() {
        StringBuilder text = new StringBuilder(toJson().encode());
        appendCases(text, "double_run", duplicateExecutions);
        appendCases(text, "owner_doubled", ownershipViolations);
        appendCases(text, "overlapping_run", overlappingExecutions);
        appendCases(text, "false_not_run", falseNotRunClaims);
        appendCases(text, "unfounded_answer", responsesWithoutExecution);
        return text.toString();
    }

    private static void appendCases(StringBuilder text, String kind, List<String> cases) {
        cases.stream()
                .limit(5)
                .forEach(found ->
                        text.append("\nevent=").append(kind).append(' ').append(found));
    }
}
