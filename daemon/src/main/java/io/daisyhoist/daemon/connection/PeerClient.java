package io.daisyhoist.daemon.connection;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.wire.proto.Envelope;
import io.netty.channel.EventLoopGroup;

/**
 * Sends messages to other daemons.
 *
 * <p>Keeps one connection per address and {@link PeerChannel}, which is opened on first use, reopened with jittered
 * backoff after a loss, and closed when idle. Invariants: a process uses a request id once, across all connections; a
 * reply completes only the call with its id on the connection that carried the call; a call never waits longer than its
 * timeout. Thread-safe; calls complete on an event loop. The caller owns the event loops.
 */
public final class PeerClient implements AutoCloseable {
    private record ConnectionKey(Endpoint endpoint, PeerChannel channel) {}

    private final EventLoopGroup eventLoops;
    private final PeerIdentity identity;
    private final PeerLimits limits;
    private final RandomGenerator random;
    private final AtomicLong requestIds = new AtomicLong();
    private final Map<ConnectionKey, PeerConnection> connections = new ConcurrentHashMap<>();
    private final PeerByteCounter byteCounter = new PeerByteCounter();
    private final FrameBudget frames = FrameBudget.ofHeap();
    private volatile boolean closed;

    /**
     * Creates a client without connections.
     *
     * @param random source of backoff jitter; must be thread-safe
     */
    public PeerClient(EventLoopGroup eventLoops, PeerIdentity identity, PeerLimits limits, RandomGenerator random) {
        this.eventLoops = eventLoops;
        this.identity = identity;
        this.limits = limits;
        this.random = random;
    }

    /**
     * Sends a request and waits for its reply.
     *
     * <p>A failed call completes with a {@link PeerException} whose certainty says whether the peer may have received
     * the request. Cancelling the result, or its timeout, drops a late reply and sends a {@code CancelRequest} when the
     * message was a {@code ForwardRequest} that may have been sent.
     *
     * @param message the request; its request id is replaced
     * @param timeout time after which the call fails, including the time to connect
     */
    public CompletableFuture<Envelope> call(
            Endpoint endpoint, PeerChannel channel, Envelope message, Duration timeout) {
        return call(endpoint, channel, message, timeout, SilencePolicy.FAIL);
    }

    /**
     * Sends a request and waits for its reply, also while the peer does not respond if the policy says so.
     *
     * @param message the request; its request id is replaced
     * @param timeout time after which the call fails, including the time to connect
     * @param silencePolicy what happens to the call when the peer stops responding
     * @see #call(Endpoint, PeerChannel, Envelope, Duration)
     */
    public CompletableFuture<Envelope> call(
            Endpoint endpoint, PeerChannel channel, Envelope message, Duration timeout, SilencePolicy silencePolicy) {
        return call(
                endpoint,
                channel,
                new PeerCall(requestIds.incrementAndGet(), message, timeout, silencePolicy, Optional.empty()));
    }

    /**
     * Sends a request whose body follows on {@link PeerChannel#UPLOAD}, and waits for its reply.
     *
     * @param message the request; its request id is replaced
     * @param timeout time after which the call fails, including the time to connect
     * @param silencePolicy what happens to the call when the peer stops responding
     * @param creditListener notified whenever the peer accepts further bytes of the body, until the call ends
     * @see #call(Endpoint, PeerChannel, Envelope, Duration)
     */
    public CompletableFuture<Envelope> upload(
            Endpoint endpoint,
            Envelope message,
            Duration timeout,
            SilencePolicy silencePolicy,
            BodyCreditListener creditListener) {
        return call(
                endpoint,
                PeerChannel.UPLOAD,
                new PeerCall(
                        requestIds.incrementAndGet(), message, timeout, silencePolicy, Optional.of(creditListener)));
    }

    private CompletableFuture<Envelope> call(Endpoint endpoint, PeerChannel channel, PeerCall call) {
        submit(endpoint, channel, call);
        return call.result();
    }

    /** Returns the byte counter of all opened connections. */
    public PeerByteCounter byteCounter() {
        return byteCounter;
    }

    /** Sends a message without waiting for a reply; it is dropped if the peer is unreachable or congested. */
    public void send(Endpoint endpoint, PeerChannel channel, Envelope message) {
        submit(endpoint, channel, PeerCall.oneWay(message, limits.connectTimeout()));
    }

    private void submit(Endpoint endpoint, PeerChannel channel, PeerCall call) {
        if (closed) {
            call.fail(PeerException.Reason.CLOSED, DeliveryCertainty.NOT_SENT, "client is closed");
            return;
        }
        if (call.message().getSerializedSize() > limits.maxFrameBytes()) {
            call.fail(PeerException.Reason.TOO_LARGE, DeliveryCertainty.NOT_SENT, "message exceeds the frame limit");
            return;
        }
        connections
                .computeIfAbsent(
                        new ConnectionKey(endpoint, channel),
                        key -> new PeerConnection(
                                eventLoops.next(), endpoint, identity, limits, random, byteCounter, frames))
                .submit(call);
    }

    /** Closes all connections and fails all pending calls. */
    @Override
    public void close() {
        closed = true;
        connections.values().forEach(PeerConnection::shutDown);
    }
}
