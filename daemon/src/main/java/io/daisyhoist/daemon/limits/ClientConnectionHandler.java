package io.daisyhoist.daemon.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.daisyhoist.core.client.CloseReason;
import io.daisyhoist.core.client.ConnectionState;
import io.daisyhoist.core.client.ConnectionState.Phase;
import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.memory.MemoryUse;
import io.daisyhoist.core.route.ClientLimits;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;

/**
 * Reads the bytes of a client's connection before the HTTP decoder, and passes on only what the limits and the memory allow.
 *
 * <p>Invariants: the decoder gets no byte of a head before memory is reserved for its parsed form, and no byte of the next
 * request before the response is written; while bytes wait here, the connection is not read. Precedes the HTTP decoder.
 * Confined to the connection's event loop.
 */
final class ClientConnectionHandler extends ChannelDuplexHandler {
    /** Longer lines between chunks are of no use to anyone. */
    private static final int MAX_CHUNK_LINE_BYTES = 4_096;

    private static final long UNKNOWN_LENGTH = -1;

    private final ClientConnectionLimiter limiter;
    private final Channel channel;
    private final ConnectionState state;
    private final HeadScanner head = new HeadScanner();
    private final ChunkScanner chunks = new ChunkScanner();
    private final Deque<ByteBuf> waitingBytes = new ArrayDeque<>();
    private final HeadMemory headMemory;
    private final MemoryBudget.Reservation waitingMemory;
    private final MemoryBudget.Reservation responseMemory;
    private Optional<HeldBody> body = Optional.empty();
    private ChannelHandlerContext context;
    private long remainingBodyBytes;

    /** Time of the latest read. */
    private long readNanos;

    private boolean paused;

    /** Whether the other handlers wanted the connection to be read when it was paused. */
    private boolean readWanted;

    /** Whether the response was written before the request was complete. */
    private boolean responded;

    private boolean processing;
    private boolean processed;

    ClientConnectionHandler(
            ClientConnectionLimiter limiter, Channel channel, ConnectionState state, MemoryBudget budget) {
        this.limiter = limiter;
        this.channel = channel;
        this.state = state;
        this.headMemory = new HeadMemory(state, budget);
        this.waitingMemory = budget.open(MemoryUse.REQUEST_HEAD);
        this.responseMemory = budget.open(MemoryUse.RESPONSE);
    }

    /** Returns whether bytes wait here for memory. */
    boolean isWaitingForMemory() {
        return paused && state.phase() != Phase.RUNNING && channel.isOpen();
    }

    ConnectionState state() {
        return state;
    }

    Channel channel() {
        return channel;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext unused, Object message) throws Exception {
        if (!(message instanceof ByteBuf bytes)) {
            context.fireChannelRead(message);
            return;
        }
        readNanos = limiter.nowNanos();
        state.onBytes(bytes.readableBytes(), readNanos);
        if (state.phase() == Phase.REFUSED || !bytes.isReadable()) {
            bytes.release();
            return;
        }
        waitingBytes.add(bytes);
        waitingMemory.growAlways(bytes.readableBytes());
        process();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext unused) throws Exception {
        fireReadComplete();
    }

    /** Passes on bytes that have waited, outside of a read; without the end of a read, the next handlers would not flush. */
    void resume() {
        readNanos = limiter.nowNanos();
        process();
        fireReadComplete();
    }

    private void fireReadComplete() {
        if (!paused) {
            context.fireChannelReadComplete();
            return;
        }
        channel.config().setAutoRead(readWanted);
        context.fireChannelReadComplete();
        readWanted = channel.config().isAutoRead();
        channel.config().setAutoRead(!paused && readWanted);
    }

    @Override
    public void channelInactive(ChannelHandlerContext unused) throws Exception {
        release();
        context.fireChannelInactive();
    }

    private void release() {
        waitingBytes.forEach(ByteBuf::release);
        waitingBytes.clear();
        headMemory.release();
        waitingMemory.release();
        responseMemory.release();
        limiter.onClosed(this);
    }

    /** Passes on as much as is allowed. */
    private void process() {
        if (processing) {
            processed = false;
            return;
        }
        processing = true;
        try {
            do {
                processed = true;
                boolean goesOn = true;
                while (goesOn && !waitingBytes.isEmpty()) {
                    goesOn = passOn(waitingBytes.peek());
                }
            } while (!processed);
        } finally {
            processing = false;
        }
        setPaused(mustPause());
    }

    private boolean mustPause() {
        if (waitingBytes.isEmpty() || state.phase() == Phase.REFUSED) {
            return false;
        }
        // While a request runs, the connection is read as long as possible, to see that the client disconnects.
        return state.phase() != Phase.RUNNING
                || waitingMemory.bytes() >= limiter.bounds().maxPipelinedBytes();
    }

    private void setPaused(boolean pause) {
        if (pause == paused) {
            return;
        }
        paused = pause;
        state.onPause(pause && state.phase() != Phase.RUNNING, limiter.nowNanos());
        if (pause) {
            readWanted = channel.config().isAutoRead();
            channel.config().setAutoRead(false);
            if (state.phase() != Phase.RUNNING) {
                limiter.awaitMemory(this);
            }
        } else if (readWanted) {
            channel.config().setAutoRead(true);
        }
    }

    /** Returns whether it is worth to continue with what is left. */
    private boolean passOn(ByteBuf bytes) {
        return switch (state.phase()) {
            case IDLE, HEAD -> passOnHead(bytes);
            case BODY -> passOnBody(bytes);
            case RUNNING -> false;
            case REFUSED -> discard();
        };
    }

    private boolean discard() {
        waitingBytes.forEach(ByteBuf::release);
        waitingBytes.clear();
        waitingMemory.shrink(waitingMemory.bytes());
        return false;
    }

    private boolean passOnHead(ByteBuf bytes) {
        if (state.phase() == Phase.IDLE) {
            state.enter(Phase.HEAD, readNanos);
            head.reset();
        }
        ClientLimits limits = limiter.limits();
        HeadScanner.Mark before = head.mark();
        int length = head.scan(bytes);
        if (head.bytes() > limits.maxHeaderBytes()
                || head.skippedBytes() > limits.maxHeaderBytes()
                || head.fields() > limiter.bounds().maxHeaderFields()) {
            refuse(CloseReason.HEAD_TOO_LARGE);
            return false;
        }
        if (!headMemory.tryReserveHead(head.fields(), head.bytes())) {
            head.restore(before);
            return false;
        }
        pass(bytes, length);
        return true;
    }

    private boolean passOnBody(ByteBuf bytes) {
        if (body.isPresent() && !body.get().hasRoomFor(bytes.readableBytes())) {
            return false;
        }
        if (remainingBodyBytes != UNKNOWN_LENGTH) {
            int length = (int) Math.min(remainingBodyBytes, bytes.readableBytes());
            remainingBodyBytes -= length;
            passBody(bytes, length);
            return true;
        }
        int length = chunks.scan(bytes);
        if (chunks.lineBytes() > MAX_CHUNK_LINE_BYTES
                || chunks.trailerBytes() > limiter.limits().maxHeaderBytes()
                || chunks.trailerFields() > limiter.bounds().maxHeaderFields()) {
            abort(CloseReason.HEAD_TOO_LARGE);
            return false;
        }
        headMemory.countTrailer(chunks.trailerFields(), chunks.trailerBytes());
        passBody(bytes, length);
        return true;
    }

    /** What follows the expected end of a body is left to the decoder if the decoder has not reached the end. */
    private void passBody(ByteBuf bytes, int length) {
        pass(bytes, length > 0 ? length : bytes.readableBytes());
    }

    private void pass(ByteBuf bytes, int length) {
        waitingMemory.shrink(length);
        if (length == bytes.readableBytes()) {
            waitingBytes.poll();
            context.fireChannelRead(bytes);
        } else {
            context.fireChannelRead(bytes.readRetainedSlice(length));
        }
    }

    void onHead(HttpRequest request) {
        long length = HttpUtil.isTransferEncodingChunked(request) ? UNKNOWN_LENGTH : contentLength(request);
        remainingBodyBytes = length;
        chunks.reset();
        body = Optional.empty();
        responded = false;
        state.enter(Phase.BODY, readNanos);
    }

    private static long contentLength(HttpRequest request) {
        return HttpUtil.getContentLength(request, 0L);
    }

    void onRequestEnd() {
        if (state.phase() == Phase.BODY) {
            state.enter(Phase.RUNNING, readNanos);
            if (responded) {
                onExchangeEnd();
            }
        }
    }

    /** The decoder also reports the incomplete head of a connection that was closed. */
    void onInvalidHead(Throwable cause) {
        if (channel.isActive() && state.phase() == Phase.HEAD) {
            boolean tooLarge = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
            refuse(tooLarge ? CloseReason.HEAD_TOO_LARGE : CloseReason.HEAD_INVALID);
        }
    }

    /** Sets the body of the current request, which learns when the request is refused. */
    void setBody(HeldBody current) {
        body = Optional.of(current);
    }

    void onResponseBytes(int bytes) {
        responseMemory.growAlways(bytes);
    }

    void onResponseWritten(int bytes, boolean end) {
        responseMemory.shrink(bytes);
        responded |= end;
        if (end && state.phase() == Phase.RUNNING) {
            onExchangeEnd();
        }
    }

    private void onExchangeEnd() {
        headMemory.releaseRequest();
        body = Optional.empty();
        state.enter(Phase.IDLE, limiter.nowNanos());
        if (!waitingBytes.isEmpty()) {
            context.executor().execute(this::resume);
        }
    }

    /** Returns the bytes of responses that the client has not taken. */
    long unwrittenBytes() {
        ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
        return outbound == null ? 0 : outbound.totalPendingWriteBytes() - outbound.currentProgress();
    }

    /** Ends the connection for a reason: with a refusal if that is true and possible. */
    void abort(CloseReason reason) {
        if (state.phase() == Phase.HEAD && reason.status() != 0) {
            refuse(reason);
        } else if (state.phase() == Phase.BODY
                && reason.status() != 0
                && !state.mayHaveBeenSent()
                && body.isPresent()) {
            body.get().refuse(reason);
            enterRefused();
        } else {
            if (reason != CloseReason.REFUSED) {
                limiter.record(reason, this);
            }
            // The end of the connection is reported later; until then, it must not be given up once more.
            state.enter(Phase.REFUSED, limiter.nowNanos());
            context.close();
        }
    }

    private void enterRefused() {
        state.enter(Phase.REFUSED, limiter.nowNanos());
        discard();
        setPaused(false);
        channel.config().setAutoRead(true);
    }

    /** Refuses a request that the HTTP decoder has not passed on. */
    private void refuse(CloseReason reason) {
        limiter.record(reason, this);
        enterRefused();
        context.writeAndFlush(limiter.refusalFormat().encode(reason)).addListener(written -> shutdownOutput());
    }

    /**
     * Discards the rest of a refused body for a moment, because closing a connection with unread bytes would discard the
     * refusal at the client.
     */
    @Override
    public void close(ChannelHandlerContext unused, ChannelPromise promise) throws Exception {
        if (state.phase() == Phase.BODY) {
            enterRefused();
        }
        if (state.phase() != Phase.REFUSED || !channel.isActive()) {
            context.close(promise);
            return;
        }
        context.executor()
                .schedule(() -> context.close(promise), ConnectionState.REFUSAL_TIME.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void shutdownOutput() {
        if (channel instanceof SocketChannel socket && socket.isActive()) {
            socket.shutdownOutput();
        }
    }
}
