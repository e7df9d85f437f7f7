package io.daisyhoist.daemon.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.model.Endpoint;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;

/**
 * Connection to one address, over any number of TCP connections one after another.
 *
 * <p>Invariants: a call is written to at most one TCP connection; calls made while it connects wait for the peer's hello,
 * calls made during the backoff fail at once as not sent. All state but the count of calls is owned by one event loop;
 * {@link #submit} and {@link #shutDown} may be called from any thread.
 */
final class PeerConnection implements PeerClientHandler.Listener {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_BACKOFF_SHIFT = 16;

    private enum State {
        IDLE,
        CONNECTING,
        READY,
        BACKOFF,
        CLOSED
    }

    private final EventLoop eventLoop;
    private final Endpoint endpoint;
    private final PeerIdentity identity;
    private final PeerLimits limits;
    private final RandomGenerator random;
    private final PeerTraffic traffic;
    private final AtomicInteger unfinishedCalls = new AtomicInteger();
    private final List<PeerCall> waiting = new ArrayList<>();
    private Optional<PeerClientHandler> handler = Optional.empty();
    private State state = State.IDLE;
    private int failedAttempts;
    private long lastUsedNanos;

    PeerConnection(
            EventLoop eventLoop,
            Endpoint endpoint,
            PeerIdentity identity,
            PeerLimits limits,
            RandomGenerator random,
            PeerTraffic traffic) {
        this.eventLoop = eventLoop;
        this.endpoint = endpoint;
        this.identity = identity;
        this.limits = limits;
        this.random = random;
        this.traffic = traffic;
    }

    void submit(PeerCall call) {
        if (unfinishedCalls.incrementAndGet() > limits.maxPendingCalls()) {
            unfinishedCalls.decrementAndGet();
            call.fail(PeerException.Reason.TOO_MANY_PENDING, Certainty.NOT_SENT, endpoint.toString());
            return;
        }
        call.result().whenComplete((reply, failure) -> unfinishedCalls.decrementAndGet());
        execute(call, () -> start(call));
    }

    void shutDown() {
        if (!eventLoop.isShuttingDown()) {
            eventLoop.execute(this::closeForGood);
        }
    }

    private void execute(PeerCall call, Runnable action) {
        try {
            eventLoop.execute(action);
        } catch (RejectedExecutionException e) {
            call.fail(PeerException.Reason.CLOSED, Certainty.NOT_SENT, "event loop has ended");
        }
    }

    private void start(PeerCall call) {
        lastUsedNanos = System.nanoTime();
        if (call.result().isDone()) {
            return;
        }
        switch (state) {
            case READY -> handler.ifPresent(ready -> ready.write(call));
            case BACKOFF -> call.fail(PeerException.Reason.BACKOFF, Certainty.NOT_SENT, endpoint.toString());
            case CLOSED -> call.fail(PeerException.Reason.CLOSED, Certainty.NOT_SENT, "client is closed");
            default -> {
                waitForConnection(call);
                if (state == State.IDLE) {
                    connect();
                }
            }
        }
    }

    private void waitForConnection(PeerCall call) {
        waiting.add(call);
        var timeout = eventLoop.schedule(
                () -> call.fail(PeerException.Reason.TIMEOUT, "no reply from " + endpoint),
                call.timeout().toMillis(),
                TimeUnit.MILLISECONDS);
        call.result().whenComplete((reply, failure) -> timeout.cancel(false));
    }

    private void connect() {
        state = State.CONNECTING;
        PeerClientHandler attempt = new PeerClientHandler(identity, limits, this);
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, limits.waterMark())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        limits.connectTimeout().toMillis())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        long silenceMillis = limits.silence().toMillis();
                        PeerPipeline.install(
                                channel,
                                limits,
                                traffic,
                                new IdleStateHandler(silenceMillis, 0, 0, TimeUnit.MILLISECONDS),
                                attempt);
                    }
                });
        handler = Optional.of(attempt);
        bootstrap.connect(endpoint.host(), endpoint.port()).addListener((ChannelFuture connected) -> {
            if (!connected.isSuccess()) {
                lost(attempt, "connect: " + connected.cause().getMessage());
            }
        });
    }

    @Override
    public void ready(PeerClientHandler source) {
        if (state != State.CONNECTING) {
            return;
        }
        state = State.READY;
        failedAttempts = 0;
        List<PeerCall> calls = List.copyOf(waiting);
        waiting.clear();
        calls.stream().filter(call -> !call.result().isDone()).forEach(source::write);
    }

    @Override
    public void lost(PeerClientHandler source, String reason) {
        if (state == State.CLOSED || handler.filter(source::equals).isEmpty()) {
            return;
        }
        LOGGER.atInfo().log(
                "event=peer_connection_lost side=client remote=%s state=%s reason=\"%s\"", endpoint, state, reason);
        handler = Optional.empty();
        failWaiting(PeerException.Reason.CONNECT_FAILED, reason);
        startBackoff();
    }

    @Override
    public boolean isUnused() {
        return System.nanoTime() - lastUsedNanos > limits.idle().toNanos();
    }

    private void startBackoff() {
        if (isUnused()) {
            state = State.IDLE;
            return;
        }
        state = State.BACKOFF;
        eventLoop.schedule(this::reconnect, nextBackoffMillis(), TimeUnit.MILLISECONDS);
    }

    private void reconnect() {
        if (state == State.BACKOFF) {
            connect();
        }
    }

    /** Full jitter: many daemons that lose the same peer must not reconnect in step. */
    private long nextBackoffMillis() {
        long exponential = limits.minBackoff().toMillis() << Math.min(failedAttempts, MAX_BACKOFF_SHIFT);
        failedAttempts++;
        return random.nextLong(Math.min(exponential, limits.maxBackoff().toMillis()) + 1);
    }

    private void failWaiting(PeerException.Reason reason, String text) {
        List<PeerCall> calls = List.copyOf(waiting);
        waiting.clear();
        calls.forEach(call -> call.fail(reason, Certainty.NOT_SENT, text));
    }

    private void closeForGood() {
        state = State.CLOSED;
        failWaiting(PeerException.Reason.CLOSED, "client is closed");
        handler.ifPresent(open -> open.close("client is closed"));
    }
}
