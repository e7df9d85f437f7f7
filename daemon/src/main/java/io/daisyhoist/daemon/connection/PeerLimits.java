package io.daisyhoist.daemon.connection;

import java.time.Duration;

import io.netty.channel.WriteBufferWaterMark;

/**
 * Limits and timeouts of the connections between daemons. Immutable.
 *
 * @param maxFrameBytes maximum size of a message
 * @param maxPendingCalls maximum number of calls without a reply per connection; further calls fail as not sent
 * @param writeLowWaterMarkBytes buffered bytes below which a connection accepts messages again
 * @param writeHighWaterMarkBytes buffered bytes above which a connection accepts no messages
 * @param connectTimeout timeout of the connect, and then of the wait for the peer's hello
 * @param initialBackoff upper bound of the delay before the first reconnect
 * @param maxBackoff upper bound of the delay before any reconnect
 * @param keepAliveInterval time without data from the peer, while replies are pending, after which the peer is probed;
 *     the peer counts as silent, and the connection is replaced, if no data arrives for twice that time after the first
 *     probe
 * @param idleTimeout time after which an unused connection is closed
 */
public record PeerLimits(
        int maxFrameBytes,
        int maxPendingCalls,
        int writeLowWaterMarkBytes,
        int writeHighWaterMarkBytes,
        Duration connectTimeout,
        Duration initialBackoff,
        Duration maxBackoff,
        Duration keepAliveInterval,
        Duration idleTimeout) {
    /**
     * Limits for production. The backoff is below a heartbeat interval, so that a restored link is used immediately.
     */
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
        return new WriteBufferWaterMark(writeLowWaterMarkBytes, writeHighWaterMarkBytes);
    }
}
