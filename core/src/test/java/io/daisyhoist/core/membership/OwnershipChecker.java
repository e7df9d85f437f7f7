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

/** Checks who would serve what; knows nothing of leases, fences or records in transit. */
final class OwnershipChecker {
    private final Map<PartitionId, Served> latest = new HashMap<>();
    private final Map<PartitionId, Long> servedNanos = new HashMap<>();
    private final Map<PartitionId, Long> longestGapNanos = new HashMap<>();
    private final List<GroupRecord> acknowledged = new ArrayList<>();

    private record Served(ProcessId process, long epoch) {}

    /** Looks at all daemons at one instant. */
    void observe(long nowNanos, Collection<SimulatedDaemon> daemons) {
        Map<PartitionId, Served> now = new HashMap<>();
        for (SimulatedDaemon daemon : daemons) {
            GroupSnapshot snapshot = daemon.published();
            if (!snapshot.lease().isValid(daemon.clock())) {
                continue;
            }
            snapshot.served().forEach((partition, grant) -> {
                Served served = new Served(daemon.process(), grant.epoch());
                Served other = now.put(partition, served);
                require(other == null, () -> "two owners of " + partition + ": " + other + " and " + served);
                checkEpoch(partition, served);
                noteServed(partition, nowNanos);
            });
        }
    }

    void acknowledge(GroupRecord record) {
        acknowledged.add(record);
    }

    /** Starts measuring gaps anew. */
    void resetGaps(long nowNanos, Collection<PartitionId> partitions) {
        longestGapNanos.clear();
        partitions.forEach(partition -> servedNanos.put(partition, nowNanos));
    }

    /** Returns the longest time without an owner since the reset, including one that has not ended. */
    long longestGapNanos(PartitionId partition, long nowNanos) {
        return Math.max(
                longestGapNanos.getOrDefault(partition, 0L), nowNanos - servedNanos.getOrDefault(partition, 0L));
    }

    /** Checks that committed records follow from each other and contain every acknowledged one. */
    void checkLog(List<GroupRecord> log) {
        for (GroupRecord record : acknowledged) {
            require(
                    record.version() < log.size()
                            && log.get((int) record.version()).equals(record),
                    () -> "acknowledged version " + record.version() + " is not recorded");
        }
        for (int version = 1; version < log.size(); version++) {
            GroupRecord record = log.get(version);
            require(record.version() == version, () -> "version " + record.version() + " recorded out of order");
            checkGrants(log.get(version - 1), record);
        }
    }

    private static void checkGrants(GroupRecord before, GroupRecord after) {
        Set<PartitionId> kept = new HashSet<>();
        for (Grant grant : after.grants()) {
            require(kept.add(grant.partition()), () -> "granted twice: " + grant);
            require(
                    grant.epoch() == after.version() || before.grants().contains(grant),
                    () -> "grant changed without a new epoch: " + grant);
        }
        for (Grant grant : before.grants()) {
            require(
                    kept.contains(grant.partition())
                            || after.member(grant.owner()).isEmpty(),
                    () -> "lost assignment: " + grant + " at version " + after.version());
        }
    }

    private void checkEpoch(PartitionId partition, Served served) {
        Served before = latest.put(partition, served);
        boolean rises = before == null || served.epoch() > before.epoch() || served.equals(before);
        require(rises, () -> "epoch of " + partition + " does not rise: " + before + " then " + served);
    }

    private void noteServed(PartitionId partition, long nowNanos) {
        Long before = servedNanos.put(partition, nowNanos);
        if (before != null) {
            longestGapNanos.merge(partition, nowNanos - before, Math::max);
        }
    }

    static void require(boolean condition, Supplier<String> message) {
        if (!condition) {
            throw new AssertionError(message.get());
        }
    }
}
