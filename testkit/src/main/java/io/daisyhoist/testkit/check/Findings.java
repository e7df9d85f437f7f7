package io.daisyhoist.testkit.check;

import java.util.List;
import java.util.stream.Stream;

import io.vertx.core.json.JsonObject;

/**
 * Violations found in execution logs and outcomes; each list names its cases. Immutable.
 *
 * @param executions number of runs examined
 * @param doubleRuns requests that had to run at most once and were started more than once, or that an answer shows to have run without a token
 * @param doubleOwners runs under an old or doubly granted epoch after another backend server began with a higher one
 * @param overlappingRuns runs of two backend servers for one partition at the same time
 * @param falseNotRun sends that ran although the answer said not run
 * @param unfoundedAnswers answered requests without a finished run
 */
public record Findings(
        int executions,
        List<String> doubleRuns,
        List<String> doubleOwners,
        List<String> overlappingRuns,
        List<String> falseNotRun,
        List<String> unfoundedAnswers) {
    /** Copies the lists. */
    public Findings {
        doubleRuns = List.copyOf(doubleRuns);
        doubleOwners = List.copyOf(doubleOwners);
        overlappingRuns = List.copyOf(overlappingRuns);
        falseNotRun = List.copyOf(falseNotRun);
        unfoundedAnswers = List.copyOf(unfoundedAnswers);
    }

    /** Returns whether no violation was found. */
    public boolean isClean() {
        return Stream.of(doubleRuns, doubleOwners, overlappingRuns, falseNotRun, unfoundedAnswers)
                .allMatch(List::isEmpty);
    }

    /** Returns the counts as JSON. */
    public JsonObject toJson() {
        return new JsonObject()
                .put("executions", executions)
                .put("double_runs", doubleRuns.size())
                .put("owners_doubled", doubleOwners.size())
                .put("overlapping_runs", overlappingRuns.size())
                .put("false_not_run", falseNotRun.size())
                .put("unfounded_answers", unfoundedAnswers.size());
    }

    /** Returns the first cases of each kind, one per line. */
    public String describe() {
        StringBuilder text = new StringBuilder(toJson().encode());
        append(text, "double_run", doubleRuns);
        append(text, "owner_doubled", doubleOwners);
        append(text, "overlapping_run", overlappingRuns);
        append(text, "false_not_run", falseNotRun);
        append(text, "unfounded_answer", unfoundedAnswers);
        return text.toString();
    }

    private static void append(StringBuilder text, String kind, List<String> cases) {
        cases.stream()
                .limit(5)
                .forEach(found ->
                        text.append("\nevent=").append(kind).append(' ').append(found));
    }
}
