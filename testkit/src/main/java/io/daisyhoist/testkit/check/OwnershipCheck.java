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
    private final List<String> overlappingRuns = new ArrayList<>();

    private record Run(String backendName, Execution execution) {
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
        Map<String, List<Run>> byPartition = new TreeMap<>();
        for (BackendExecutions log : logs) {
            for (Execution execution : log.executions()) {
                if (execution.epoch() >= 0) {
                    String partition = execution.service() + "/" + execution.partition();
                    byPartition
                            .computeIfAbsent(partition, absent -> new ArrayList<>())
                            .add(new Run(log.backendName(), execution));
                }
            }
        }
        byPartition.values().forEach(this::checkPartition);
    }

    List<String> ownershipViolations() {
        return ownershipViolations;
    }

    List<String> overlappingRuns() {
        return overlappingRuns;
    }

    private void checkPartition(List<Run> runs) {
        runs.sort(Comparator.comparingLong(run -> run.execution().startMicros()));
        Map<Long, String> backendByEpoch = new HashMap<>();
        long highestEpoch = -1;
        Map<String, Run> latestRunByBackend = new HashMap<>();
        for (Run run : runs) {
            long epoch = run.execution().epoch();
            String holder = backendByEpoch.computeIfAbsent(epoch, absent -> run.backendName());
            if (epoch < highestEpoch || !holder.equals(run.backendName())) {
                ownershipViolations.add(run.describe() + " highest_epoch=" + highestEpoch + " holder=" + holder);
            }
            highestEpoch = Math.max(highestEpoch, epoch);
            findOverlaps(run, latestRunByBackend);
            latestRunByBackend.merge(
                    run.backendName(),
                    run,
                    (previous, next) -> previous.endMicros() >= next.endMicros() ? previous : next);
        }
    }

    private void findOverlaps(Run run, Map<String, Run> latestRunByBackend) {
        latestRunByBackend.forEach((backendName, earlier) -> {
            if (!backendName.equals(run.backendName())
                    && earlier.endMicros() > run.execution().startMicros()) {
                overlappingRuns.add(run.describe() + " with " + earlier.describe());
            }
        });
    }
}
