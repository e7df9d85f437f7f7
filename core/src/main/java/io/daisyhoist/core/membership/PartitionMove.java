package io.daisyhoist.core.membership;

import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.SessionId;

/**
 * A planned change of a partition's owner. Immutable.
 *
 * @param partition the partition
 * @param from its current owner
 * @param to its next owner
 */
public record PartitionMove(PartitionId partition, SessionId from, SessionId to) {}
