package io.daisyhoist.core.assignment;

import java.util.List;
import java.util.stream.IntStream;

import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.membership.GroupRecord;
import io.daisyhoist.core.model.PartitionId;

/** Partitions of the configured services. Stateless. */
final class ConfiguredPartitions {
    private ConfiguredPartitions() {}

    static List<PartitionId> unassigned(GroupRecord record, EffectiveConfig config) {
        return config.services().values().stream()
                .flatMap(service -> IntStream.range(0, service.partitions())
                        .mapToObj(index -> new PartitionId(service.name(), index)))
                .filter(partition -> record.grant(partition).isEmpty())
                .sorted()
                .toList();
    }
}
