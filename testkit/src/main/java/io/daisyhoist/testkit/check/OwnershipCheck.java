package io.daisyhoist.testkit.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.daisyhoist.testkit.backend.Execution;

/**
 * Finds partitions that two backend servers served at the same time.
 *
 * <p>Independent of leases: uses only the backend server, epoch and time of each execution. All logs must come from one
 * machine, because wall-clock times are compared. Confined to one thread.
 */
final class OwnershipCheck {
    private final List<String> ownershipViolations = new ArrayList<>();
    private final List<String> overlappingExecutions = new ArrayList<>();

    private record BackendExecution(String backendName, Execution execution) {
        long endMicros() {
            return execution.end() == Execution.End.RUNNING ? Long.MAX_VALUE : execution.endMicros();
        }

        String describe() {
            return "partition=" + execution.service() + "/" + execution.partition() + " epoch=" + execution.epoch()
                    + " source=" + backendName + " request=" + execution.requestId() + " start_us="
                    + execution.startMicros() + " end_us=" + execution.endMicros();
        }
    }

    OwnershipCheck(List<BackendExecutions> logs) {
        Map<String, List<BackendExecution>> byPartition = new TreeMap<>();
        for (BackendExecutions log : logs) {
            for (Execution execution : log.executions()) {
                if (execution.epoch() >= 0) {
                    String partition = execution.service() + "/" + execution.partition();
                    byPartition
                            .computeIfAbsent(partition, absent -> new ArrayList<>())
                            .add(new BackendExecution(log.backendName(), execution));
                }
            }
        }
        byPartition.values().forEach(this::checkPartition);
    }

    List<String> ownershipViolations() {
        return ownershipViolations;
    }

    List<String> overlappingExecutions() {
        return overlappingExecutions;
    }

    private void checkPartition(List<BackendExecution> entries) {
        entries.sort(Comparator.comparingLong(entry -> entry.execution().startMicros()));
        Map<Long, String> backendByEpoch = new HashMap<>();
        long highestEpoch = -1;
        Map<String, BackendExecution> latestByBackend = new HashMap<>();
        for (BackendExecution entry : entries) {
            long epoch = entry.execution().epoch();
            String epochOwner = backendByEpoch.computeIfAbsent(epoch, absent -> entry.backendName());
            if (epoch < highestEpoch || !epochOwner.equals(entry.backendName())) {
                ownershipViolations.add(entry.describe() + " highest_epoch=" + highestEpoch + " holder=" + epochOwner);
            }
            highestEpoch = Math.max(highestEpoch, epoch);
            findOverlaps(entry, latestByBackend);
            latestByBackend.merge(
                    entry.backendName(),
                    entry,
                    (previous, next) -> previous.endMicros() >= next.endMicros() ? previous : next);
        }
    }

    private void findOverlaps(BackendExecution entry, Map<String, BackendExecution> latestByBackend) {
        latestByBackend.forEach((backendName, earlier) -> {
            if (!backendName.equals(entry.backendName())
                    && earlier.endMicros() > entry.execution().startMicros()) {
                overlappingExecutions.add(entry.describe() + " with " + earlier.describe());
            }
        });
    }
}
