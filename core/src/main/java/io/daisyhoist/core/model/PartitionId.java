package io.daisyhoist.core.model;

import java.util.Comparator;

/**
 * Identifier of a partition, which is a hash range of the keys of one service. Ordered by service and index. Immutable.
 *
 * @param service service of the keys
 * @param index index of the hash range, from 0
 */
public record PartitionId(ServiceName service, int index) implements Comparable<PartitionId> {
    private static final Comparator<PartitionId> ORDER =
            Comparator.comparing(PartitionId::service).thenComparingInt(PartitionId::index);

    /** Validates the index. */
    public PartitionId {
        if (index < 0) {
            throw new IllegalArgumentException("partition index must not be negative: " + index);
        }
    }

    @Override
    public int compareTo(PartitionId other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return service.name() + "/" + index;
    }
}
