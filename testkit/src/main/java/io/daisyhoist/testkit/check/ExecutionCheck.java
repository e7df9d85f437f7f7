package io.daisyhoist.testkit.check;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.daisyhoist.testkit.backend.Execution;

/** Compares the executions of the backend servers with the responses that clients received. Stateless. */
public final class ExecutionCheck {
    private ExecutionCheck() {}

    /** Checks the executions of all backend servers against the outcomes of all requests. */
    public static CheckReport check(List<BackendExecutions> logs, List<RequestOutcome> outcomes) {
        List<Execution> allExecutions =
                logs.stream().flatMap(log -> log.executions().stream()).toList();
        OwnershipCheck ownership = new OwnershipCheck(logs);
        return new CheckReport(
                allExecutions.size(),
                findDuplicateExecutions(allExecutions, outcomes),
                ownership.ownershipViolations(),
                ownership.overlappingExecutions(),
                findFalseNotRunClaims(allExecutions, outcomes),
                findResponsesWithoutExecution(allExecutions, outcomes));
    }

    private static List<String> findDuplicateExecutions(List<Execution> allExecutions, List<RequestOutcome> outcomes) {
        List<String> cases = new ArrayList<>();
        outcomes.stream()
                .filter(outcome -> outcome.isAnswered()
                        && !outcome.isIdempotent()
                        && outcome.token().isEmpty())
                .forEach(outcome -> cases.add("answered without token, request " + outcome.id()));
        Map<String, Long> byToken = new TreeMap<>();
        Map<String, Long> byRequest = new TreeMap<>();
        for (Execution execution : allExecutions) {
            if (execution.method().equals("GET")) {
                continue;
            }
            byToken.merge(execution.attemptToken(), 1L, Long::sum);
            byRequest.merge(requestIdOf(execution.requestId()), 1L, Long::sum);
        }
        byToken.remove("");
        byRequest.remove("");
        byToken.forEach((token, count) -> addIfRepeated(cases, "token " + token, count));
        byRequest.forEach((request, count) -> addIfRepeated(cases, "request " + request, count));
        return cases;
    }

    private static void addIfRepeated(List<String> cases, String subject, long count) {
        if (count > 1) {
            cases.add(subject + " runs=" + count);
        }
    }

    private static List<String> findFalseNotRunClaims(List<Execution> allExecutions, List<RequestOutcome> outcomes) {
        Set<String> executedSendIds =
                allExecutions.stream().map(Execution::requestId).collect(Collectors.toCollection(HashSet::new));
        return outcomes.stream()
                .flatMap(outcome -> outcome.sends().stream())
                .filter(send -> send.run().equals("not-run") && executedSendIds.contains(send.id()))
                .map(send -> "send=" + send.id() + " code=" + send.code())
                .toList();
    }

    private static List<String> findResponsesWithoutExecution(
            List<Execution> allExecutions, List<RequestOutcome> outcomes) {
        Set<String> finishedRequestIds = allExecutions.stream()
                .filter(execution -> execution.end() == Execution.End.FINISHED)
                .map(execution -> requestIdOf(execution.requestId()))
                .collect(Collectors.toCollection(HashSet::new));
        return outcomes.stream()
                .filter(RequestOutcome::isAnswered)
                .map(RequestOutcome::id)
                .filter(id -> !finishedRequestIds.contains(id))
                .toList();
    }

    /** Returns the request id that is part of a send id. */
    private static String requestIdOf(String sendId) {
        int dot = sendId.lastIndexOf('.');
        return dot < 0 ? sendId : sendId.substring(0, dot);
    }
}
