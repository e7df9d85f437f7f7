package io.daisyhoist.mesh.body;

import io.daisyhoist.daemon.limits.BodyBounds;

/** Sizes of the parts in which a body is held and passed on. */
public final class BodyLimits {
    /** Bodies up to this size are held whole; of larger ones, this much is held and the rest is streamed. */
    public static final int FIRST_PART_BYTES = 64 << 10;

    /** Part of a body in one message to another daemon; small, so that many uploads share a link evenly. */
    public static final int CHUNK_BYTES = 32 << 10;

    /**
     * Bytes of one body on the way between two daemons; fills a link of 100 Mbit/s at a round trip of 10 ms. The HTTP server reads as
     * much from a client before it pauses: 16 parts of 8 KiB.
     */
    public static final int WINDOW_BYTES = 128 << 10;

    private BodyLimits() {}

    /** Returns the memory to reserve for a streamed body of which a first part is held. */
    public static long streamedBytes(long firstPartBytes) {
        return BodyBounds.reservedBytes(firstPartBytes) + WINDOW_BYTES;
    }
}
