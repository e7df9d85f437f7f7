package io.daisyhoist.core.atmostonce;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.SessionId;

/**
 * Exports that have arrived for planned moves which may or may not be committed.
 *
 * <p>Invariant: an export is handed out only for the grant that its sender committed with it. An abandoned move leaves an
 * export behind that lacks the sender's later runs; using it after a failover would let those run again. Confined to one
 * thread.
 */
public final class TransferInbox {
    private final Map<PartitionId, Arrival> latest = new HashMap<>();

    private record Arrival(SessionId sender, LedgerExport export) {
        boolean replaces(Arrival earlier) {
            return export.targetEpoch() > earlier.export.targetEpoch()
                    || export.targetEpoch() == earlier.export.targetEpoch()
                            && export.number() > earlier.export.number();
        }
    }

    /** Stores an export unless a later one is stored; the receiver acknowledges it afterwards. */
    public void store(PartitionId partition, SessionId sender, LedgerExport export) {
        latest.merge(partition, new Arrival(sender, export), (old, arrival) -> arrival.replaces(old) ? arrival : old);
    }

    /**
     * Takes the export for a grant to this daemon; empty when none may be used.
     *
     * @param grantEpoch epoch of the grant
     * @param isListed whether a group record of version {@code grantEpoch} or later lists a session. A failover removes
     *     the session of the previous owner with the same change, so a listed sender has made the grant itself.
     */
    public Optional<LedgerExport> take(PartitionId partition, long grantEpoch, Predicate<SessionId> isListed) {
        Arrival arrival = latest.get(partition);
        if (arrival == null || arrival.export.targetEpoch() > grantEpoch) {
            return Optional.empty();
        }
        latest.remove(partition);
        boolean usable = arrival.export.targetEpoch() == grantEpoch && isListed.test(arrival.sender);
        return usable ? Optional.of(arrival.export) : Optional.empty();
    }
}
