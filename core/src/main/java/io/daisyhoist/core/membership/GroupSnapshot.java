package io.daisyhoist.core.membership;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.daisyhoist.core.lease.LeaseSnapshot;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.SessionId;
import io.daisyhoist.core.time.TimeSource;

/**
 * View of the group that is published to the traffic threads. Immutable.
 *
 * @param record latest known record
 * @param revision platform revision of the record
 * @param session session of this daemon; empty when it is not a member
 * @param served grants of this daemon by partition, except those that are being handed over or whose change is pending
 * @param handingOver partitions of this daemon that are being handed over; requests for them wait for the next record
 * @param lease lease of the session
 */
public record GroupSnapshot(
        GroupRecord record,
        long revision,
        Optional<SessionId> session,
        Map<PartitionId, Grant> served,
        Set<PartitionId> handingOver,
        LeaseSnapshot lease) {
    /** The snapshot before any record is known. */
    public static final GroupSnapshot EMPTY =
            new GroupSnapshot(GroupRecord.EMPTY, 0, Optional.empty(), Map.of(), Set.of(), LeaseSnapshot.NONE);

    /** Copies the collections. */
    public GroupSnapshot {
        served = Map.copyOf(served);
        handingOver = Set.copyOf(handingOver);
    }

    /** Returns the grant under which this daemon may serve a partition now; empty when it may not. */
    public Optional<Grant> servingGrant(PartitionId partition, TimeSource time) {
        if (!lease.isValid(time)) {
            return Optional.empty();
        }
        return Optional.ofNullable(served.get(partition));
    }
}
