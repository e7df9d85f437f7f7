package io.daisyhoist.daemon.connection;

import java.time.Duration;

import io.netty.channel.WriteBufferWaterMark;

/**
 * Bounds of the connections between daemons. Immutable.
 *
 * @param maxFrameBytes largest message
 * @param maxPendingCalls calls without a reply per connection; further ones fail as not sent
 * @param writeLowBytes buffered bytes below which a connection accepts messages again
 * @param writeHighBytes buffered bytes above which a connection accepts no messages
 * @param connectTimeout time for connecting, and again for the peer's hello
 * @param minBackoff upper bound of the wait before the first reconnect
 * @param maxBackoff upper bound of the wait before any reconnect
 * @param silence time without a byte from the peer, while replies are due, after which it is probed; twice that after
 *     the probe, the connection is closed
 * @param idle time after which an unused connection is closed
 */
public record PeerLimits(
        int maxFrameBytes,
        int maxPendingCalls,
        int writeLowBytes,
        int writeHighBytes,
        Duration connectTimeout,
        Duration minBackoff,
        Duration maxBackoff,
        Duration silence,
        Duration idle) {
    /** Bounds for production. The backoff stays below a heartbeat interval, so that a healed link is used at once. */
    public static final PeerLimits DEFAULT = new PeerLimits(
            2 << 20,
            4096,
            1 << 20,
            8 << 20,
            Duration.ofMillis(500),
            Duration.ofMillis(50),
            Duration.ofMillis(600),
            Duration.ofSeconds(1),
            Duration.ofSeconds(60));

    WriteBufferWaterMark waterMark() {
        return new WriteBufferWaterMark(writeLowBytes, writeHighBytes);
    }
}
