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
 * Partitions that this daemon owns, with their attempt records.
 *
 * <p>Invariant: each grant has its own ledger, which initially holds the records that the previous owner sent for this
 * grant, if any. Records of an earlier grant to this daemon are never reused, because another daemon may have owned the
 * partition in between. Confined to the traffic event loop.
 */
final class OwnedPartitions {
    private final TimeSource time;
    private final TransferInbox inbox = new TransferInbox();
    private final Map<PartitionId, OwnedPartition> partitions = new HashMap<>();

    OwnedPartitions(TimeSource time) {
        this.time = time;
    }

    /** Returns the state of a partition under a grant; creates it if the grant is new. */
    OwnedPartition getOrCreate(Grant grant, GroupSnapshot group) {
        OwnedPartition existing = partitions.get(grant.partition());
        if (existing != null && existing.grant().equals(grant)) {
            return existing;
        }
        OwnedPartition created = new OwnedPartition(grant, time);
        partitions.put(grant.partition(), created);
        importFromInbox(created, group);
        return created;
    }

    /** Returns the state of a partition under a grant, if it exists. */
    Optional<OwnedPartition> find(Grant grant) {
        return Optional.ofNullable(partitions.get(grant.partition()))
                .filter(existing -> existing.grant().equals(grant));
    }

    /** Stores the records of a planned move; imports them immediately if the grant has already started. */
    void receiveTransfer(PartitionId partition, SessionId sender, LedgerExport export, GroupSnapshot group) {
        inbox.store(partition, sender, export);
        Optional.ofNullable(partitions.get(partition))
                .filter(existing -> existing.grant().epoch() >= export.targetEpoch())
                .ifPresent(existing -> importFromInbox(existing, group));
    }

    /** Removes the partitions that this daemon no longer owns. */
    void retainOwned(GroupSnapshot group) {
        partitions
                .values()
                .removeIf(existing ->
                        !group.record().grant(existing.grant().partition()).equals(Optional.of(existing.grant())));
    }

    private void importFromInbox(OwnedPartition owned, GroupSnapshot group) {
        Grant grant = owned.grant();
        inbox.take(
                        grant.partition(),
                        grant.epoch(),
                        session -> group.record().member(session).isPresent())
                .ifPresent(owned.ledger()::importRecords);
    }
}
