package io.daisyhoist.core.membership;

import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.SessionId;

/**
 * Ownership of one partition by one session. Immutable.
 *
 * @param partition the partition
 * @param owner session that owns it
 * @param epoch record version that granted it; the fencing token sent to the backend server
 */
public record Grant(PartitionId partition, SessionId owner, long epoch) {}
