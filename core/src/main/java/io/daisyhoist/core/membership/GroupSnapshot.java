package io.daisyhoist.core.membership;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.daisyhoist.core.lease.LeaseSnapshot;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.SessionId;
import io.daisyhoist.core.time.TimeSource;

/**
 * What traffic threads know about the group. Immutable.
 *
 * @param record latest known record
 * @param revision platform revision of the record
 * @param session own session; empty when this daemon is not a member
 * @param served own grants by partition, without those that are being handed over or whose outcome is undecided
 * @param handingOver own partitions that are being handed over; requests for them wait for the next record
 * @param lease lease of the own session
 */
public record GroupSnapshot(
        GroupRecord record,
        long revision,
        Optional<SessionId> session,
        Map<PartitionId, Grant> served,
        Set<PartitionId> handingOver,
        LeaseSnapshot lease) {
    /** Nothing known yet. */
    public static final GroupSnapshot EMPTY =
            new GroupSnapshot(GroupRecord.EMPTY, 0, Optional.empty(), Map.of(), Set.of(), LeaseSnapshot.NONE);

    /** Copies the collections. */
    public GroupSnapshot {
        served = Map.copyOf(served);
        handingOver = Set.copyOf(handingOver);
    }

    /** Returns the grant under which this daemon may serve a partition now; empty when it may not. */
    public Optional<Grant> serving(PartitionId partition, TimeSource time) {
        if (!lease.isValid(time)) {
            return Optional.empty();
        }
        return Optional.ofNullable(served.get(partition));
    }
}
