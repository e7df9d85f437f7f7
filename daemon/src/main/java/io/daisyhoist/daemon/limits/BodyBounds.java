package io.daisyhoist.daemon.limits;

/**
 * Sizes that bound the body of a request. Immutable.
 *
 * @param maxBytes maximum length of a body
 * @param maxHeldBytes length up to which a body is held whole; of a longer one, a first part is held
 * @param streamedBytes memory to reserve for the part on its way, if a body is not held whole
 */
public record BodyBounds(long maxBytes, long maxHeldBytes, long streamedBytes) {
    /** A held part is copied once for each message or write that contains it. */
    private static final int COPIES = 2;

    /** Returns the bounds of bodies that are held whole. */
    public static BodyBounds whole(long maxBytes) {
        return new BodyBounds(maxBytes, maxBytes, 0);
    }

    /** Returns the memory to reserve for a part that is held. */
    public static long reservedBytes(long heldBytes) {
        return COPIES * heldBytes;
    }

    /** Returns the memory to reserve for a body of which a part is held; a longer part than the maximum means more follows. */
    long reservedFor(long heldBytes) {
        return reservedBytes(heldBytes) + (heldBytes > maxHeldBytes ? streamedBytes : 0);
    }
}
