package io.daisyhoist.core.atmostonce;

import java.util.List;
import java.util.Map;

/**
 * Records of a ledger, sent to the next owner in a planned move. Immutable.
 *
 * <p>The receiver may import it only into the grant that the sender committed with it, see {@link TransferInbox}.
 *
 * @param sourceEpoch epoch of the sender's grant
 * @param targetEpoch epoch of the receiver's grant if the move is committed, that is the expected record version plus 1
 * @param number count of exports of the sender's ledger, from 1; a later export replaces an earlier one
 * @param droppedUpToMillis for each covered epoch, the latest issue time of a record that was dropped; -1 when none was
 * @param records settled records in the order in which they began
 */
public record LedgerExport(
        long sourceEpoch,
        long targetEpoch,
        int number,
        Map<Long, Long> droppedUpToMillis,
        List<AttemptRecord> records) {
    /** Copies the collections. */
    public LedgerExport {
        droppedUpToMillis = Map.copyOf(droppedUpToMillis);
        records = List.copyOf(records);
    }
}
