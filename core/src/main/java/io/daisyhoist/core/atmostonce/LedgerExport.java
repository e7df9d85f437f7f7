package io.daisyhoist.core.atmostonce;

import java.util.List;
import java.util.Map;

/**
 * Records of a ledger, sent to the next owner in a planned move. Immutable.
 *
 * <p>The receiver may import it only into a grant that the sender itself committed after making this export, see
 * {@link AttemptLedger#importAll}.
 *
 * @param sourceEpoch epoch of the sender's grant
 * @param number count of exports of the sender's ledger, from 1; a later export replaces an earlier one
 * @param droppedUpToMillis for each covered epoch, the latest issue time of a record that was dropped; -1 when none was
 * @param records settled records in the order in which they began
 */
public record LedgerExport(
        long sourceEpoch, int number, Map<Long, Long> droppedUpToMillis, List<AttemptRecord> records) {
    /** Copies the collections. */
    public LedgerExport {
        droppedUpToMillis = Map.copyOf(droppedUpToMillis);
        records = List.copyOf(records);
    }
}
