package io.daisyhoist.daemon.limits;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import io.daisyhoist.core.client.CloseReason;
import io.daisyhoist.core.client.ConnectionBounds;
import io.daisyhoist.core.client.ConnectionState;
import io.daisyhoist.core.client.ConnectionTable;
import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.memory.MemoryUse;
import io.daisyhoist.core.route.ClientLimits;
import io.daisyhoist.core.time.TimeSource;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.util.AttributeKey;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.impl.HttpServerConnection;

/**
 * Enforces the limits of all connections of clients.
 *
 * <p>Invariants: a connection whose request may have reached a backend server is never closed for the memory or the connections
 * that others need, unless its client takes no byte of the response; when memory does not suffice, reading pauses first. Confined to the traffic event loop.
 */
public final class ClientConnectionLimiter {
    private static final AttributeKey<ClientConnectionHandler> HANDLER =
            AttributeKey.valueOf(ClientConnectionLimiter.class, "connection");

    /** Limit of the HTTP decoder; the configured one is lower. */
    private static final int MAX_DECODED_HEADER_BYTES = 1 << 20;

    private static final int ACCEPT_BACKLOG = 1_024;

    /** Responses up to this size are few bytes for each of the connections, which are bounded. */
    private static final int MAX_SMALL_RESPONSE_BYTES = 16_384;

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

    /** Requests that end in the meantime return their memory, so that nobody need be refused. */
    private static final Duration MEMORY_WAIT_LIMIT = Duration.ofMillis(300);

    private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

    /** Bounds what one read adds, also to a connection that must wait afterwards. */
    private static final int MAX_READ_BYTES = 16_384;

    private static final int MIN_READ_BYTES = 512;
    private static final int INITIAL_READ_BYTES = 2_048;

    private final Vertx vertx;
    private final TimeSource time;
    private final Supplier<ClientLimits> limits;
    private final ConnectionBounds bounds;
    private final MemoryBudget budget;
    private final Refusals refusals;
    private final ConnectionTable table;
    private final Map<ConnectionState, ClientConnectionHandler> handlers = new HashMap<>();
    private final Set<ClientConnectionHandler> waiting = new LinkedHashSet<>();
    private final RefusalLog refusalLog = new RefusalLog();
    private Optional<Long> timer = Optional.empty();
    private long waitingSinceNanos;
    private long loggedNanos;

    /**
     * How requests are refused. Immutable.
     *
     * @param format format of the responses
     * @param listener counts them
     */
    public record Refusals(RefusalFormat format, RefusalListener listener) {}

    /**
     * Creates a limiter without connections.
     *
     * @param limits limits of the newest configuration
     */
    public ClientConnectionLimiter(
            Vertx vertx,
            TimeSource time,
            Supplier<ClientLimits> limits,
            ConnectionBounds bounds,
            MemoryBudget budget,
            Refusals refusals) {
        this.vertx = vertx;
        this.time = time;
        this.limits = limits;
        this.bounds = bounds;
        this.budget = budget;
        this.refusals = refusals;
        this.table = new ConnectionTable(bounds);
    }

    /** Returns the options of a server whose limits are enforced here. */
    public static HttpServerOptions serverOptions() {
        return new HttpServerOptions()
                .setMaxHeaderSize(MAX_DECODED_HEADER_BYTES)
                .setMaxInitialLineLength(MAX_DECODED_HEADER_BYTES)
                // The limits of heads and bodies are enforced on messages of HTTP/1.1 only.
                .setHttp2ClearTextEnabled(false)
                .setAcceptBacklog(ACCEPT_BACKLOG);
    }

    /** Starts the checks of times and memory. */
    public void start() {
        timer = Optional.of(vertx.setPeriodic(CHECK_INTERVAL.toMillis(), fired -> check()));
    }

    /** Ends the checks. */
    public void stop() {
        timer.ifPresent(vertx::cancelTimer);
    }

    /** Takes over a connection before its first byte is read. */
    public void onConnection(HttpConnection connection) {
        ChannelHandlerContext http = ((HttpServerConnection) connection).channelHandlerContext();
        Channel channel = http.channel();
        ConnectionState state = new ConnectionState(address(channel), nowNanos());
        ClientConnectionHandler handler = new ClientConnectionHandler(this, channel, state, budget);
        channel.attr(HANDLER).set(handler);
        channel.config()
                .setRecvByteBufAllocator(
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(1));
        http.pipeline().addFirst(handler);
        http.pipeline().addBefore(http.name(), null, new MessageBoundaryHandler(handler));
        table.add(state);
        handlers.put(state, handler);
        table.excess(state, nowNanos()).map(handlers::get).ifPresent(excess -> excess.abort(CloseReason.CONNECTIONS));
    }

    private static String address(Channel channel) {
        return channel.remoteAddress() instanceof InetSocketAddress remote
                ? remote.getAddress().getHostAddress()
                : "unknown";
    }

    /** Starts reading the body of a request. */
    public HeldBody readBody(HttpServerRequest http, BodyBounds bodyBounds) {
        ClientConnectionHandler handler = handler(http);
        HeldBody body = new HeldBody(http, bodyBounds, budget, new BodyListener(handler));
        handler.setBody(body);
        body.read();
        return body;
    }

    /** Records the memory of a body with its connection. */
    private final class BodyListener implements HeldBody.Listener {
        private final ClientConnectionHandler handler;

        private BodyListener(ClientConnectionHandler handler) {
            this.handler = handler;
        }

        @Override
        public void onHeldBytes(long bytes) {
            handler.state().addHeldBytes(bytes);
        }

        @Override
        public void onRefused(CloseReason reason) {
            record(reason, handler);
        }

        @Override
        public void onStreaming() {
            handler.state().onSent();
        }
    }

    private static ClientConnectionHandler handler(HttpServerRequest http) {
        Channel channel = ((HttpServerConnection) http.connection())
                .channelHandlerContext()
                .channel();
        return channel.attr(HANDLER).get();
    }

    /**
     * Returns whether memory suffices to keep a response until its client has taken it; first ends the connections of clients that
     * take no byte of theirs, if that is necessary. There is always room for one response.
     */
    public boolean hasRoomForResponse(long bytes) {
        long missingBytes = budget.heldBytes() + bytes - budget.maxBytes();
        boolean first = budget.heldBytes(MemoryUse.RESPONSE) == 0;
        if (bytes <= MAX_SMALL_RESPONSE_BYTES || missingBytes <= 0 || first) {
            return true;
        }
        long now = nowNanos();
        long freedBytes =
                handlers.values().stream().filter(handler -> handler.state().isResponseStalled(now)).toList().stream()
                        .mapToLong(stalled -> giveUp(stalled, now))
                        .sum();
        return missingBytes <= freedBytes;
    }

    ClientLimits limits() {
        return limits.get();
    }

    RefusalFormat refusalFormat() {
        return refusals.format();
    }

    ConnectionBounds bounds() {
        return bounds;
    }

    long nowNanos() {
        return time.monotonicNanos();
    }

    /** Returns the number of open connections. */
    public int connections() {
        return handlers.size();
    }

    void onClosed(ClientConnectionHandler handler) {
        table.remove(handler.state());
        handlers.remove(handler.state());
        waiting.remove(handler);
    }

    void record(CloseReason reason, ClientConnectionHandler handler) {
        refusals.listener().onRefused(reason);
        if (reason != CloseReason.IDLE) {
            refusalLog.record(reason, handler.state());
        }
    }

    void awaitMemory(ClientConnectionHandler handler) {
        if (waiting.isEmpty()) {
            waitingSinceNanos = nowNanos();
        }
        waiting.add(handler);
    }

    private void check() {
        long now = nowNanos();
        for (ClientConnectionHandler handler : new ArrayList<>(handlers.values())) {
            handler.state().onUnwrittenBytes(handler.unwrittenBytes(), now);
            handler.state().exceeded(limits(), bounds, now).ifPresent(handler::abort);
        }
        resumeWaiting(now);
        if (now - loggedNanos > LOG_INTERVAL.toNanos()) {
            loggedNanos = now;
            refusalLog.write();
        }
    }

    private void resumeWaiting(long now) {
        for (ClientConnectionHandler handler : new ArrayList<>(waiting)) {
            handler.resume();
            if (!handler.isWaitingForMemory()) {
                waiting.remove(handler);
                waitingSinceNanos = now;
            }
        }
        if (!waiting.isEmpty() && now - waitingSinceNanos > MEMORY_WAIT_LIMIT.toNanos()) {
            waitingSinceNanos = now;
            giveUpHeaviest(now);
        }
    }

    /** Ends connections until an eighth of the budget is free, because one after the other would take too long. */
    private void giveUpHeaviest(long now) {
        long wantedFreeBytes = budget.maxBytes() / 8;
        long freedBytes = 0;
        while (freedBytes < wantedFreeBytes) {
            Optional<ClientConnectionHandler> heaviest = table.heaviest(now).map(handlers::get);
            if (heaviest.isEmpty()) {
                return;
            }
            freedBytes += giveUp(heaviest.get(), now);
        }
    }

    private static long giveUp(ClientConnectionHandler handler, long now) {
        long freedBytes = handler.state().heldBytes();
        handler.abort(handler.state().isResponseStalled(now) ? CloseReason.RESPONSE_STALLED : CloseReason.MEMORY);
        return freedBytes;
    }
}
