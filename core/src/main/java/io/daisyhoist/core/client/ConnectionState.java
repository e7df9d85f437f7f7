package io.daisyhoist.core.client;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.route.ClientLimits;

/**
 * What one connection of a client is doing, how much it holds and when it last made progress.
 *
 * <p>Invariant: a request that may have been sent to a backend server is never ended for its memory. Times are monotonic, in
 * nanoseconds. Confined to one event loop.
 */
public final class ConnectionState {
    /** Time for a refused client to read its refusal before its connection is closed. */
    public static final Duration REFUSAL_TIME = Duration.ofMillis(500);

    /** Keeps a connection that has just made progress from counting as one without any weight. */
    private static final long MIN_STALL_NANOS = Duration.ofMillis(100).toNanos();

    /** A client that takes no byte of its response for this long may lose its connection to others that need it. */
    private static final Duration RESPONSE_STALL_TIME = Duration.ofSeconds(1);

    private static final long MILLIS_PER_SECOND = 1_000;

    /** What the connection is doing. */
    public enum Phase {
        /** No byte of the next request has arrived. */
        IDLE,
        /** The request line or the header fields are incomplete. */
        HEAD,
        /** The body is incomplete. */
        BODY,
        /** The request is complete, and its response is not written. */
        RUNNING,
        /** The request was refused; what follows is discarded. */
        REFUSED
    }

    private final String address;
    private Phase phase = Phase.IDLE;
    private long phaseStartNanos;
    private long progressNanos;
    private long windowStartNanos;
    private long windowBytes;
    private long heldBytes;
    private long unwrittenBytes;
    private long unwrittenSinceNanos;
    private boolean hasBeenServed;
    private boolean sent;
    private boolean paused;
    private Optional<CloseReason> suspected = Optional.empty();

    /** Creates the state of a connection that was just opened. */
    public ConnectionState(String address, long nowNanos) {
        this.address = address;
        phaseStartNanos = nowNanos;
        progressNanos = nowNanos;
        unwrittenSinceNanos = nowNanos;
    }

    /** Returns the address of the client, without its port. */
    public String address() {
        return address;
    }

    /** Returns what the connection is doing. */
    public Phase phase() {
        return phase;
    }

    /** Records the begin of a phase. */
    public void enter(Phase next, long nowNanos) {
        hasBeenServed |= phase == Phase.RUNNING && next == Phase.IDLE;
        sent &= next != Phase.IDLE;
        phase = next;
        phaseStartNanos = nowNanos;
        windowStartNanos = nowNanos;
        windowBytes = 0;
    }

    /** Records bytes that have arrived. */
    public void onBytes(int bytes, long nowNanos) {
        progressNanos = nowNanos;
        windowBytes += bytes;
    }

    /** Records memory that is held for the connection, or that was returned if negative. */
    public void addHeldBytes(long bytes) {
        heldBytes += bytes;
    }

    /** Returns the memory that is held for the connection, with responses that the client has not taken. */
    public long heldBytes() {
        return heldBytes + unwrittenBytes;
    }

    /** Records that the connection begins, or ends, to wait for memory of the daemon. */
    public void onPause(boolean isPaused, long nowNanos) {
        paused = isPaused;
        progressNanos = nowNanos;
        windowStartNanos = nowNanos;
        windowBytes = 0;
    }

    /** Records that the request may reach a backend server from now on, although its body may be incomplete. */
    public void onSent() {
        sent = true;
    }

    /** Returns whether the current request may have reached a backend server. */
    public boolean mayHaveBeenSent() {
        return sent || phase == Phase.RUNNING;
    }

    /** Records how many bytes of responses the client has not taken yet. */
    public void onUnwrittenBytes(long bytes, long nowNanos) {
        if (bytes != unwrittenBytes || bytes == 0) {
            unwrittenSinceNanos = nowNanos;
        }
        unwrittenBytes = bytes;
    }

    /** Returns whether the client has taken no byte of a response for a while. */
    public boolean isResponseStalled(long nowNanos) {
        return phase != Phase.REFUSED
                && unwrittenBytes > 0
                && nowNanos - unwrittenSinceNanos > RESPONSE_STALL_TIME.toNanos();
    }

    /** Returns whether others that need memory or a connection may have those of this one. */
    boolean mayBeGivenUp(long nowNanos) {
        return !mayHaveBeenSent() || isResponseStalled(nowNanos);
    }

    /**
     * Returns the limit that the connection exceeds; to be called regularly.
     *
     * <p>A limit of time counts as exceeded when two checks have found it so, between which the event loop has read what had
     * arrived: a late event loop must not end connections of clients that were in time.
     */
    public Optional<CloseReason> exceeded(ClientLimits limits, ConnectionBounds bounds, long nowNanos) {
        Optional<CloseReason> found = phase == Phase.REFUSED
                ? reason(nowNanos - phaseStartNanos > REFUSAL_TIME.toNanos(), CloseReason.REFUSED)
                : late(limits, bounds, nowNanos);
        boolean confirmed = found.isPresent() && found.equals(suspected);
        suspected = found;
        return confirmed ? found : Optional.empty();
    }

    private Optional<CloseReason> late(ClientLimits limits, ConnectionBounds bounds, long nowNanos) {
        if (unwrittenBytes > 0
                && nowNanos - unwrittenSinceNanos > limits.idleTimeout().toNanos()) {
            return Optional.of(CloseReason.RESPONSE_STALLED);
        }
        if (paused) {
            return reason(nowNanos - progressNanos > limits.headerTimeout().toNanos(), CloseReason.MEMORY);
        }
        long elapsedNanos = nowNanos - phaseStartNanos;
        return switch (phase) {
            case IDLE -> reason(elapsedNanos > limits.idleTimeout().toNanos(), CloseReason.IDLE);
            case HEAD -> reason(elapsedNanos > limits.headerTimeout().toNanos(), CloseReason.HEAD_TIMEOUT);
            case BODY -> reason(isBodyTooSlow(limits, bounds, nowNanos), CloseReason.BODY_TIMEOUT);
            case RUNNING, REFUSED -> Optional.empty();
        };
    }

    private boolean isBodyTooSlow(ClientLimits limits, ConnectionBounds bounds, long nowNanos) {
        Duration window = limits.idleTimeout();
        if (nowNanos - windowStartNanos <= window.toNanos()) {
            return false;
        }
        if (windowBytes * MILLIS_PER_SECOND < bounds.minBodyBytesPerSecond() * window.toMillis()) {
            return true;
        }
        windowStartNanos = nowNanos;
        windowBytes = 0;
        return false;
    }

    private static Optional<CloseReason> reason(boolean exceeded, CloseReason reason) {
        return exceeded ? Optional.of(reason) : Optional.empty();
    }

    /** Returns how much ending this connection is worth: the more it holds and the longer it has not moved, the higher. */
    double memoryWeight(long nowNanos) {
        long stallNanos = paused ? 0 : nowNanos - progressNanos;
        return (double) heldBytes() * (stallNanos + MIN_STALL_NANOS);
    }

    /** Returns how long the connection has not moved. */
    long stallNanos(long nowNanos) {
        return nowNanos - progressNanos;
    }

    /** Returns the order in which connections are given up for others, the lowest first. */
    int usefulness(long nowNanos) {
        if (phase == Phase.REFUSED || isResponseStalled(nowNanos)) {
            return 0;
        }
        if (phase == Phase.IDLE) {
            return hasBeenServed ? 2 : 1;
        }
        return 1;
    }
}
