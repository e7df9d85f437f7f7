package io.daisyhoist.core.atmostonce;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.SessionId;

/**
 * Stores received exports of planned moves until it is known whether the move was committed.
 *
 * <p>Invariant: an export is returned only for the grant that its sender committed with it. An abandoned move leaves an
 * export that lacks the sender's later runs; using it after a failover would let those attempts run again. Confined to
 * one thread.
 */
public final class TransferInbox {
    private final Map<PartitionId, ReceivedExport> latestExports = new HashMap<>();

    private record ReceivedExport(SessionId sender, LedgerExport export) {
        boolean replaces(ReceivedExport earlier) {
            return export.targetEpoch() > earlier.export.targetEpoch()
                    || export.targetEpoch() == earlier.export.targetEpoch()
                            && export.number() > earlier.export.number();
        }
    }

    /** Stores an export unless a later one is stored; the caller acknowledges it afterwards. */
    public void store(PartitionId partition, SessionId sender, LedgerExport export) {
        latestExports.merge(
                partition,
                new ReceivedExport(sender, export),
                (earlier, later) -> later.replaces(earlier) ? later : earlier);
    }

    /**
     * Removes and returns the export for a grant to this daemon; empty when none may be used.
     *
     * @param grantEpoch epoch of the grant
     * @param isListed whether a group record of version {@code grantEpoch} or later lists a session. A failover removes
     *     the session of the previous owner in the same change, so a sender that is still listed made the grant itself.
     */
    public Optional<LedgerExport> take(PartitionId partition, long grantEpoch, Predicate<SessionId> isListed) {
        ReceivedExport received = latestExports.get(partition);
        if (received == null || received.export.targetEpoch() > grantEpoch) {
            return Optional.empty();
        }
        latestExports.remove(partition);
        boolean usable = received.export.targetEpoch() == grantEpoch && isListed.test(received.sender);
        return usable ? Optional.of(received.export) : Optional.empty();
    }
}
