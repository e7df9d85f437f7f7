package io.daisyhoist.testkit.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.daisyhoist.testkit.backend.Execution;

/**
 * Finds partitions that two backend servers served at once.
 *
 * <p>Knows nothing of leases: it uses only who ran what under which epoch and when. All logs must come from one machine,
 * because it compares wall-clock times. Confined to one thread.
 */
final class OwnershipCheck {
    private final List<String> doubleOwners = new ArrayList<>();
    private final List<String> overlaps = new ArrayList<>();

    private record Run(String source, Execution execution) {
        long endMicros() {
            return execution.end() == Execution.End.RUNNING ? Long.MAX_VALUE : execution.endMicros();
        }

        String describe() {
            return "partition=" + execution.service() + "/" + execution.partition() + " epoch=" + execution.epoch()
                    + " source=" + source + " request=" + execution.requestId() + " start_us="
                    + execution.startMicros() + " end_us=" + execution.endMicros();
        }
    }

    OwnershipCheck(List<RunLog> logs) {
        Map<String, List<Run>> byPartition = new TreeMap<>();
        for (RunLog log : logs) {
            for (Execution execution : log.executions()) {
                if (execution.epoch() >= 0) {
                    String partition = execution.service() + "/" + execution.partition();
                    byPartition
                            .computeIfAbsent(partition, absent -> new ArrayList<>())
                            .add(new Run(log.source(), execution));
                }
            }
        }
        byPartition.values().forEach(this::examine);
    }

    List<String> doubleOwners() {
        return doubleOwners;
    }

    List<String> overlaps() {
        return overlaps;
    }

    private void examine(List<Run> runs) {
        runs.sort(Comparator.comparingLong(run -> run.execution().startMicros()));
        Map<Long, String> sourceOfEpoch = new HashMap<>();
        long highestEpoch = -1;
        Map<String, Run> latestEndOfSource = new HashMap<>();
        for (Run run : runs) {
            long epoch = run.execution().epoch();
            String holder = sourceOfEpoch.computeIfAbsent(epoch, absent -> run.source());
            if (epoch < highestEpoch || !holder.equals(run.source())) {
                doubleOwners.add(run.describe() + " highest_epoch=" + highestEpoch + " holder=" + holder);
            }
            highestEpoch = Math.max(highestEpoch, epoch);
            findOverlap(run, latestEndOfSource);
            latestEndOfSource.merge(
                    run.source(), run, (known, next) -> known.endMicros() >= next.endMicros() ? known : next);
        }
    }

    private void findOverlap(Run run, Map<String, Run> latestEndOfSource) {
        latestEndOfSource.forEach((source, earlier) -> {
            if (!source.equals(run.source())
                    && earlier.endMicros() > run.execution().startMicros()) {
                overlaps.add(run.describe() + " with " + earlier.describe());
            }
        });
    }
}
