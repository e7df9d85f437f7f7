package io.daisyhoist.daemon.connection;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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
 * Logical connection to one address, which replaces its TCP connection when that is lost or its peer stops responding.
 *
 * <p>Invariants: a call is written to at most one TCP connection; calls made while connecting wait for the peer's
 * hello; calls made during the backoff fail immediately as not sent. All state except the number of pending calls is
 * confined to one event loop; {@link #submit} and {@link #shutDown} may be called from any thread.
 */
final class PeerConnection implements PeerClientHandler.Listener {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_BACKOFF_SHIFT = 16;
    private static final String CLIENT_CLOSED = "client is closed";

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
    private final PeerByteCounter byteCounter;
    private final FrameBudget frames;
    private final AtomicInteger pendingCallCount = new AtomicInteger();
    private final List<PeerCall> waitingCalls = new ArrayList<>();

    /** Connections whose peer does not respond, with calls that wait for a reply. */
    private final Set<PeerClientHandler> silentHandlers = new HashSet<>();

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
            PeerByteCounter byteCounter,
            FrameBudget frames) {
        this.eventLoop = eventLoop;
        this.endpoint = endpoint;
        this.identity = identity;
        this.limits = limits;
        this.random = random;
        this.byteCounter = byteCounter;
        this.frames = frames;
    }

    void submit(PeerCall call) {
        if (pendingCallCount.incrementAndGet() > limits.maxPendingCalls()) {
            pendingCallCount.decrementAndGet();
            call.fail(PeerException.Reason.TOO_MANY_PENDING, DeliveryCertainty.NOT_SENT, endpoint.toString());
            return;
        }
        call.result().whenComplete((reply, failure) -> pendingCallCount.decrementAndGet());
        execute(call, () -> sendOrQueue(call));
    }

    void shutDown() {
        if (!eventLoop.isShuttingDown()) {
            eventLoop.execute(this::closePermanently);
        }
    }

    private void execute(PeerCall call, Runnable action) {
        try {
            eventLoop.execute(action);
        } catch (RejectedExecutionException e) {
            call.fail(PeerException.Reason.CLOSED, DeliveryCertainty.NOT_SENT, "event loop has ended");
        }
    }

    private void sendOrQueue(PeerCall call) {
        lastUsedNanos = System.nanoTime();
        if (call.result().isDone()) {
            return;
        }
        switch (state) {
            case READY -> handler.ifPresent(ready -> ready.write(call));
            case BACKOFF -> call.fail(PeerException.Reason.BACKOFF, DeliveryCertainty.NOT_SENT, endpoint.toString());
            case CLOSED -> call.fail(PeerException.Reason.CLOSED, DeliveryCertainty.NOT_SENT, CLIENT_CLOSED);
            default -> {
                waitForConnection(call);
                if (state == State.IDLE) {
                    connect();
                }
            }
        }
    }

    private void waitForConnection(PeerCall call) {
        waitingCalls.add(call);
        var timeout = eventLoop.schedule(
                () -> call.fail(PeerException.Reason.TIMEOUT, "no reply from " + endpoint),
                call.timeout().toMillis(),
                TimeUnit.MILLISECONDS);
        call.result().whenComplete((reply, failure) -> timeout.cancel(false));
    }

    private void connect() {
        state = State.CONNECTING;
        PeerClientHandler newHandler = new PeerClientHandler(identity, limits, this);
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
                        long keepAliveMillis = limits.keepAliveInterval().toMillis();
                        PeerPipeline.install(
                                channel,
                                limits,
                                byteCounter,
                                frames,
                                new IdleStateHandler(keepAliveMillis, 0, 0, TimeUnit.MILLISECONDS),
                                newHandler);
                    }
                });
        handler = Optional.of(newHandler);
        bootstrap.connect(endpoint.host(), endpoint.port()).addListener((ChannelFuture connected) -> {
            if (!connected.isSuccess()) {
                onLost(newHandler, "connect: " + connected.cause().getMessage());
            }
        });
    }

    @Override
    public void onReady(PeerClientHandler source) {
        if (state != State.CONNECTING) {
            return;
        }
        state = State.READY;
        failedAttempts = 0;
        List<PeerCall> calls = List.copyOf(waitingCalls);
        waitingCalls.clear();
        calls.stream().filter(call -> !call.result().isDone()).forEach(source::write);
    }

    @Override
    public void onSilent(PeerClientHandler source) {
        if (handler.filter(source::equals).isEmpty()) {
            return;
        }
        LOGGER.atInfo().log("event=peer_silent remote=%s outcome=reconnect", endpoint);
        silentHandlers.add(source);
        handler = Optional.empty();
        startBackoff();
    }

    @Override
    public void onLost(PeerClientHandler source, String reason) {
        silentHandlers.remove(source);
        if (state == State.CLOSED || handler.filter(source::equals).isEmpty()) {
            return;
        }
        LOGGER.atInfo().log(
                "event=peer_connection_lost side=client remote=%s state=%s reason=\"%s\"", endpoint, state, reason);
        handler = Optional.empty();
        failWaitingCalls(PeerException.Reason.CONNECT_FAILED, reason);
        startBackoff();
    }

    @Override
    public boolean isIdle() {
        return System.nanoTime() - lastUsedNanos > limits.idleTimeout().toNanos();
    }

    private void startBackoff() {
        if (isIdle()) {
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

    /** Uses full jitter, so that daemons that lose the same peer do not reconnect simultaneously. */
    private long nextBackoffMillis() {
        long exponential = limits.initialBackoff().toMillis() << Math.min(failedAttempts, MAX_BACKOFF_SHIFT);
        failedAttempts++;
        return random.nextLong(Math.min(exponential, limits.maxBackoff().toMillis()) + 1);
    }

    private void failWaitingCalls(PeerException.Reason reason, String text) {
        List<PeerCall> calls = List.copyOf(waitingCalls);
        waitingCalls.clear();
        calls.forEach(call -> call.fail(reason, DeliveryCertainty.NOT_SENT, text));
    }

    private void closePermanently() {
        state = State.CLOSED;
        failWaitingCalls(PeerException.Reason.CLOSED, CLIENT_CLOSED);
        handler.ifPresent(open -> open.close(CLIENT_CLOSED));
        List.copyOf(silentHandlers).forEach(open -> open.close(CLIENT_CLOSED));
    }
}
