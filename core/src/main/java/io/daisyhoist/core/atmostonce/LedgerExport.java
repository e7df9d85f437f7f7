package io.daisyhoist.core.atmostonce;

import java.util.List;
import java.util.Map;

/**
 * Records of a ledger that are sent to the next owner in a planned move. Immutable.
 *
 * <p>The receiver may import an export only for the grant that the sender committed with it, see {@link TransferInbox}.
 *
 * @param sourceEpoch epoch of the sender's grant
 * @param targetEpoch epoch of the receiver's grant if the move is committed, that is the expected record version plus 1
 * @param number sequence number among the exports of the sender's ledger, from 1; a later export replaces an earlier
 *     one
 * @param evictionWatermarksMillis eviction watermark of each covered epoch: the latest issue time of an evicted record, or -1
 *     if none was evicted
 * @param records finished and unknown attempts in the order in which they started
 */
public record LedgerExport(
        long sourceEpoch,
        long targetEpoch,
        int number,
        Map<Long, Long> evictionWatermarksMillis,
        List<AttemptRecord> records) {
    /** Copies the collections. */
    public LedgerExport {
        evictionWatermarksMillis = Map.copyOf(evictionWatermarksMillis);
        records = List.copyOf(records);
    }
}
