package io.daisyhoist.core.atmostonce;

import java.time.Duration;

/**
 * Limits of an attempt ledger. Immutable.
 *
 * @param tokenLifetime time after issue during which a token may start a run, and after the start of a run during which
 *     its record is kept
 * @param maxRecords largest number of records
 * @param maxBytes approximate upper bound of the memory for records
 * @param maxBodyBytes largest response body that is kept
 */
public record LedgerLimits(Duration tokenLifetime, int maxRecords, long maxBytes, int maxBodyBytes) {
    /** Token lifetime of 10 min, bodies up to 64 KB, 2 MB per partition so that 8 partitions take half of 32 MB. */
    public static final LedgerLimits DEFAULT = new LedgerLimits(Duration.ofMinutes(10), 10_000, 2L << 20, 64 << 10);
}
