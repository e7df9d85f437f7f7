package io.daisyhoist.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ProcessId;

/** Test oracle for ownership: sees only which daemon would serve a partition, not leases, fences or messages. */
final class OwnershipChecker {
    private final Map<PartitionId, Served> lastServed = new HashMap<>();
    private final Map<PartitionId, Long> lastServedNanos = new HashMap<>();
    private final Map<PartitionId, Long> longestGapNanos = new HashMap<>();
    private final List<GroupRecord> acknowledgedRecords = new ArrayList<>();

    private record Served(ProcessId process, long epoch) {}

    /** Checks all daemons at one point in time. */
    void observe(long nowNanos, Collection<SimulatedDaemon> daemons) {
        Map<PartitionId, Served> servedByPartition = new HashMap<>();
        for (SimulatedDaemon daemon : daemons) {
            GroupSnapshot snapshot = daemon.publishedSnapshot();
            if (!snapshot.lease().isValid(daemon.clock())) {
                continue;
            }
            snapshot.served().forEach((partition, grant) -> {
                Served served = new Served(daemon.process(), grant.epoch());
                Served other = servedByPartition.put(partition, served);
                require(other == null, () -> "two owners of " + partition + ": " + other + " and " + served);
                checkEpoch(partition, served);
                updateGap(partition, nowNanos);
            });
        }
    }

    void addAcknowledged(GroupRecord record) {
        acknowledgedRecords.add(record);
    }

    /** Discards the gaps measured so far and starts new measurements. */
    void resetGaps(long nowNanos, Collection<PartitionId> partitions) {
        longestGapNanos.clear();
        partitions.forEach(partition -> lastServedNanos.put(partition, nowNanos));
    }

    /** Returns the longest time without an owner since the last reset, including a gap that has not ended. */
    long longestGapNanos(PartitionId partition, long nowNanos) {
        return Math.max(
                longestGapNanos.getOrDefault(partition, 0L), nowNanos - lastServedNanos.getOrDefault(partition, 0L));
    }

    /** Checks that the committed records are a valid sequence and contain every acknowledged record. */
    void checkLog(List<GroupRecord> log) {
        for (GroupRecord record : acknowledgedRecords) {
            require(
                    record.version() < log.size()
                            && log.get((int) record.version()).equals(record),
                    () -> "acknowledged version " + record.version() + " is not in the log");
        }
        for (int version = 1; version < log.size(); version++) {
            GroupRecord record = log.get(version);
            require(record.version() == version, () -> "version " + record.version() + " is out of order in the log");
            checkGrants(log.get(version - 1), record);
        }
    }

    private static void checkGrants(GroupRecord previous, GroupRecord next) {
        Set<PartitionId> kept = new HashSet<>();
        for (Grant grant : next.grants()) {
            require(kept.add(grant.partition()), () -> "partition granted more than once: " + grant);
            require(
                    grant.epoch() == next.version() || previous.grants().contains(grant),
                    () -> "grant changed without a new epoch: " + grant);
        }
        for (Grant grant : previous.grants()) {
            require(
                    kept.contains(grant.partition())
                            || next.member(grant.owner()).isEmpty(),
                    () -> "lost assignment: " + grant + " at version " + next.version());
        }
    }

    private void checkEpoch(PartitionId partition, Served served) {
        Served previous = lastServed.put(partition, served);
        boolean valid = previous == null || served.epoch() > previous.epoch() || served.equals(previous);
        require(valid, () -> "epoch of " + partition + " does not increase: " + previous + " then " + served);
    }

    private void updateGap(PartitionId partition, long nowNanos) {
        Long previousNanos = lastServedNanos.put(partition, nowNanos);
        if (previousNanos != null) {
            longestGapNanos.merge(partition, nowNanos - previousNanos, Math::max);
        }
    }

    static void require(boolean condition, Supplier<String> message) {
        if (!condition) {
            throw new AssertionError(message.get());
        }
    }
}
