package io.daisyhoist.testkit.check;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.daisyhoist.testkit.backend.Execution;

/** Compares what backend servers ran with what clients were told. Stateless. */
public final class ExecutionCheck {
    private ExecutionCheck() {}

    /** Examines the logs of all backend servers and the outcomes of all requests. */
    public static Findings examine(List<RunLog> logs, List<Outcome> outcomes) {
        List<Execution> all =
                logs.stream().flatMap(log -> log.executions().stream()).toList();
        OwnershipCheck ownership = new OwnershipCheck(logs);
        return new Findings(
                all.size(),
                doubleRuns(all, outcomes),
                ownership.doubleOwners(),
                ownership.overlaps(),
                falseNotRun(all, outcomes),
                unfoundedAnswers(all, outcomes));
    }

    private static List<String> doubleRuns(List<Execution> all, List<Outcome> outcomes) {
        List<String> found = new ArrayList<>();
        outcomes.stream()
                .filter(outcome -> outcome.isAnswered()
                        && !outcome.isRepeatable()
                        && outcome.token().isEmpty())
                .forEach(outcome -> found.add("answered without token, request " + outcome.id()));
        Map<String, Long> byToken = new TreeMap<>();
        Map<String, Long> byRequest = new TreeMap<>();
        for (Execution execution : all) {
            if (execution.method().equals("GET")) {
                continue;
            }
            byToken.merge(execution.attemptToken(), 1L, Long::sum);
            byRequest.merge(requestOf(execution.requestId()), 1L, Long::sum);
        }
        byToken.remove("");
        byRequest.remove("");
        byToken.forEach((token, runs) -> addIfDouble(found, "token " + token, runs));
        byRequest.forEach((request, runs) -> addIfDouble(found, "request " + request, runs));
        return found;
    }

    private static void addIfDouble(List<String> found, String what, long runs) {
        if (runs > 1) {
            found.add(what + " runs=" + runs);
        }
    }

    private static List<String> falseNotRun(List<Execution> all, List<Outcome> outcomes) {
        Set<String> ran = all.stream().map(Execution::requestId).collect(Collectors.toCollection(HashSet::new));
        return outcomes.stream()
                .flatMap(outcome -> outcome.sends().stream())
                .filter(send -> send.run().equals("not-run") && ran.contains(send.id()))
                .map(send -> "send=" + send.id() + " code=" + send.code())
                .toList();
    }

    private static List<String> unfoundedAnswers(List<Execution> all, List<Outcome> outcomes) {
        Set<String> finished = all.stream()
                .filter(execution -> execution.end() == Execution.End.FINISHED)
                .map(execution -> requestOf(execution.requestId()))
                .collect(Collectors.toCollection(HashSet::new));
        return outcomes.stream()
                .filter(Outcome::isAnswered)
                .map(Outcome::id)
                .filter(id -> !finished.contains(id))
                .toList();
    }

    /** Returns the request's part of a send id. */
    private static String requestOf(String sendId) {
        int dot = sendId.lastIndexOf('.');
        return dot < 0 ? sendId : sendId.substring(0, dot);
    }
}
