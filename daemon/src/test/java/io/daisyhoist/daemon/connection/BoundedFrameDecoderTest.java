package io.daisyhoist.daemon.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Load: many daemons that forward large bodies to one at the same time. */
class BoundedFrameDecoderTest {
    private static final int LARGE_BYTES = 100_000;
    private static final int MAX_FRAME_BYTES = 1 << 20;

    private final FrameBudget budget = new FrameBudget(2 * LARGE_BYTES);
    private final List<Throwable> failures = new ArrayList<>();

    /** Counts frames and releases their memory, as a handler that answers at once. */
    private final class Receiver extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ((ByteBuf) message).release();
            context.pipeline().get(BoundedFrameDecoder.class).takeReservation().run();
            received.add(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            failures.add(cause);
            context.close();
        }
    }

    private final List<Object> received = new ArrayList<>();

    private EmbeddedChannel connect() {
        return new EmbeddedChannel(new BoundedFrameDecoder(MAX_FRAME_BYTES, budget), new Receiver());
    }

    private static ByteBuf frame(int bytes) {
        ByteBuf frame = Unpooled.buffer();
        for (int rest = bytes; ; rest >>>= 7) {
            if (rest < 128) {
                frame.writeByte(rest);
                break;
            }
            frame.writeByte(rest & 0x7f | 0x80);
        }
        return frame.writeZero(bytes);
    }

    private static void runTimers(EmbeddedChannel channel, long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    @Test
    void largeFramesBeyondTheBudget_waitUnreadUntilOthersEnd() {
        ByteBuf first = frame(LARGE_BYTES);
        List<EmbeddedChannel> senders = List.of(connect(), connect(), connect());
        ByteBuf begin = first.copy(0, 1_000);
        senders.forEach(sender -> sender.writeInbound(begin.copy()));
        assertEquals(2 * LARGE_BYTES, budget.heldBytes());
        EmbeddedChannel waiting = senders.get(2);
        assertFalse(waiting.config().isAutoRead());

        senders.get(0).writeInbound(first.copy(1_000, first.readableBytes() - 1_000));
        assertEquals(1, received.size());
        runTimers(waiting, 10);
        assertTrue(waiting.config().isAutoRead());
        waiting.writeInbound(first.copy(1_000, first.readableBytes() - 1_000));
        assertEquals(List.of(senders.get(0), waiting), received);
        assertEquals(LARGE_BYTES, budget.heldBytes());
    }

    /** Guards against control messages that wait for the memory of large requests. */
    @Test
    void smallFrame_doesNotWait() {
        EmbeddedChannel holder = connect();
        holder.writeInbound(frame(2 * LARGE_BYTES).slice(0, 10));
        EmbeddedChannel other = connect();
        other.writeInbound(frame(1_000));
        assertEquals(List.of(other), received);
    }

    /** Guards against a budget that is smaller than the largest frame, and would never let it through. */
    @Test
    void frameLargerThanTheBudget_passesAlone() {
        EmbeddedChannel sender = connect();
        sender.writeInbound(frame(5 * LARGE_BYTES));
        assertEquals(List.of(sender), received);
        assertEquals(0, budget.heldBytes());
    }

    /** Guards against a daemon that is lost in the middle of a frame and keeps the memory for which others wait. */
    @Test
    void frameThatStops_isClosedAndReleased() {
        EmbeddedChannel sender = connect();
        sender.writeInbound(frame(LARGE_BYTES).slice(0, 10));
        for (int i = 0; i < 3; i++) {
            runTimers(sender, 3_000);
        }
        assertEquals(1, failures.size());
        assertFalse(sender.isActive());
        assertEquals(0, budget.heldBytes());
    }
}
