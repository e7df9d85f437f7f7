package io.daisyhoist.daemon.connection;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.streams.ReadStream;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class BodyBudgetTest {
    private static final long BUDGET_BYTES = 1_000;
    private static final long MAX_BODY_BYTES = 900;

    private final BodyBudget budget = new BodyBudget(BUDGET_BYTES);

    /** Body whose chunks the test delivers. */
    private static final class Body implements ReadStream<Buffer> {
        private Handler<Buffer> chunkHandler;
        private Handler<Void> endHandler;

        @Override
        public ReadStream<Buffer> exceptionHandler(Handler<Throwable> handler) {
            return this;
        }

        @Override
        public ReadStream<Buffer> handler(Handler<Buffer> handler) {
            chunkHandler = handler;
            return this;
        }

        @Override
        public ReadStream<Buffer> pause() {
            return this;
        }

        @Override
        public ReadStream<Buffer> resume() {
            return this;
        }

        @Override
        public ReadStream<Buffer> fetch(long amount) {
            return this;
        }

        @Override
        public ReadStream<Buffer> endHandler(Handler<Void> handler) {
            endHandler = handler;
            return this;
        }

        private void deliver(int bytes) {
            chunkHandler.handle(Buffer.buffer(new byte[bytes]));
        }

        private void end() {
            endHandler.handle(null);
        }
    }

    private Future<Buffer> read(Body body) {
        return budget.read(body, MAX_BODY_BYTES);
    }

    /** Guards against ending a small body because others are very large. */
    @Test
    void read_budgetExceeded_endsTheLargest() {
        Body large = new Body();
        Body small = new Body();
        Future<Buffer> largeResult = read(large);
        Future<Buffer> smallResult = read(small);
        large.deliver(800);
        small.deliver(150);
        small.deliver(100);
        assertInstanceOf(BoundedBody.TooLargeException.class, largeResult.cause());
        small.end();
        assertEquals(250, smallResult.result().length());
    }

    /** Guards against a budget that shrinks with each body. */
    @Test
    void read_afterOthersEnded_hasTheWholeBudget() {
        for (int i = 0; i < 10; i++) {
            Body body = new Body();
            Future<Buffer> result = read(body);
            body.deliver(800);
            if (i % 2 == 0) {
                body.end();
                assertTrue(result.succeeded());
            } else {
                body.deliver(800);
                assertTrue(result.failed());
                body.deliver(800);
            }
        }
        Body last = new Body();
        Future<Buffer> result = read(last);
        last.deliver(900);
        assertFalse(result.isComplete());
    }
}
