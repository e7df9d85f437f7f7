package io.daisyhoist.core.routing;

import java.nio.charset.StandardCharsets;

import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ServiceName;

/**
 * Maps keys to partitions.
 *
 * <p>All daemons must compute the same partition, so the hash function is fixed: 64-bit FNV-1a over the UTF-8 bytes,
 * followed by the finalizer of MurmurHash3, because FNV-1a mixes the high bits of short keys poorly. Stateless.
 */
public final class Partitioner {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Partitioner() {}

    /** Returns the partition of a key in a service that has the given number of partitions. */
    public static PartitionId partitionOf(ServiceName service, String key, int partitions) {
        return new PartitionId(service, (int) Long.remainderUnsigned(hash(key), partitions));
    }

    static long hash(String key) {
        long hash = FNV_OFFSET_BASIS;
        for (byte octet : key.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (octet & 0xff)) * FNV_PRIME;
        }
        return mix(hash);
    }

    private static long mix(long hash) {
        long mixed = hash;
        mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
