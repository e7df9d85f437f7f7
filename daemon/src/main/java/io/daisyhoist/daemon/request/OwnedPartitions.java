package io.daisyhoist.daemon.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.daisyhoist.core.atmostonce.LedgerExport;
import io.daisyhoist.core.atmostonce.TransferInbox;
import io.daisyhoist.core.membership.Grant;
import io.daisyhoist.core.membership.GroupSnapshot;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.SessionId;
import io.daisyhoist.core.time.TimeSource;

/**
 * Own partitions with their attempt records.
 *
 * <p>Invariant: each grant has a ledger of its own, which begins with the records that the previous owner sent for this
 * grant, or with none. Records of an earlier own grant are never reused, because others may have owned the partition in
 * between. Confined to the traffic event loop.
 */
final class OwnedPartitions {
    private final TimeSource time;
    private final TransferInbox inbox = new TransferInbox();
    private final Map<PartitionId, OwnedPartition> partitions = new HashMap<>();

    OwnedPartitions(TimeSource time) {
        this.time = time;
    }

    /** Returns the state of a partition under a grant, new when the grant is. */
    OwnedPartition of(Grant grant, GroupSnapshot group) {
        OwnedPartition known = partitions.get(grant.partition());
        if (known != null && known.grant().equals(grant)) {
            return known;
        }
        OwnedPartition fresh = new OwnedPartition(grant, time);
        partitions.put(grant.partition(), fresh);
        takeFromInbox(fresh, group);
        return fresh;
    }

    /** Finds the state of a partition under a grant. */
    Optional<OwnedPartition> find(Grant grant) {
        return Optional.ofNullable(partitions.get(grant.partition()))
                .filter(known -> known.grant().equals(grant));
    }

    /** Stores records for a planned move, and uses them at once when the grant has begun. */
    void receive(PartitionId partition, SessionId sender, LedgerExport export, GroupSnapshot group) {
        inbox.store(partition, sender, export);
        Optional.ofNullable(partitions.get(partition))
                .filter(known -> known.grant().epoch() >= export.targetEpoch())
                .ifPresent(known -> takeFromInbox(known, group));
    }

    /** Forgets the partitions that this daemon no longer owns. */
    void retainOwned(GroupSnapshot group) {
        partitions
                .values()
                .removeIf(known ->
                        !group.record().grant(known.grant().partition()).equals(Optional.of(known.grant())));
    }

    private void takeFromInbox(OwnedPartition owned, GroupSnapshot group) {
        Grant grant = owned.grant();
        inbox.take(
                        grant.partition(),
                        grant.epoch(),
                        session -> group.record().member(session).isPresent())
                .ifPresent(owned.ledger()::importAll);
    }
}
