package io.daisyhoist.mesh.connection;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

import io.daisyhoist.core.fleet.BackendLife;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.connection.BackendAnswer.Answered;
import io.daisyhoist.mesh.connection.BackendAnswer.NotRun;
import io.daisyhoist.mesh.connection.BackendAnswer.NotRunReason;
import io.daisyhoist.mesh.connection.BackendAnswer.Unknown;
import io.daisyhoist.mesh.connection.BackendAnswer.UnknownReason;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** A stand-in answers each request with fixed bytes. */
class BackendHttpClientTest {
    private static final HeaderNames NAMES = new HeaderNames(
            "Id",
            "Deadline",
            "Expected",
            "Actual",
            "Caller",
            "Key",
            "Signature",
            "Not-Run",
            "Load",
            value -> OptionalDouble.empty());

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final TimeSource time = new SystemTimeSource();
    private final BackendHttpClient client = new BackendHttpClient(vertx, context, NAMES, 4, time);
    private final Promise<Void> cancelled = Promise.promise();
    private boolean mayBeWritten = true;
    private boolean cancelAfterWrite;

    @AfterEach
    void close() {
        vertx.close();
    }

    private <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new AssertionError("no result", e);
        }
    }

    private Endpoint serve(String bytes, boolean thenClose) {
        NetServer server = vertx.createNetServer()
                .connectHandler(socket -> socket.handler(request -> {
                    if (!bytes.isEmpty()) {
                        socket.write(bytes);
                    }
                    if (thenClose) {
                        socket.close();
                    }
                }));
        await(server.listen(0, "127.0.0.1"));
        return new Endpoint("127.0.0.1", server.actualPort());
    }

    private BackendAnswer send(Endpoint backend, Duration deadline) {
        BackendRequestData request = new BackendRequestData(
                "id-1",
                new ServiceName("s"),
                OptionalInt.empty(),
                "GET",
                "/x",
                List.of(),
                Buffer.buffer(),
                1,
                Deadline.after(time, deadline),
                "caller",
                new BackendLife("b", 1),
                false);
        Promise<BackendAnswer> answer = Promise.promise();
        context.runOnContext(run -> client.send(backend, request, cancelled.future(), new BackendHttpClient.Observer() {
                    @Override
                    public boolean mayBeWritten() {
                        return mayBeWritten;
                    }

                    @Override
                    public void onWritten() {
                        if (cancelAfterWrite) {
                            vertx.setTimer(50, fired -> cancelled.complete());
                        }
                    }

                    @Override
                    public void onSlowdown(double slowdown) {
                        // Not needed here.
                    }
                })
                .onComplete(answer));
        return await(answer.future());
    }

    private BackendAnswer answerTo(String bytes, boolean thenClose) {
        return send(serve(bytes, thenClose), Duration.ofMillis(700));
    }

    @Nested
    class Answers {
        @Test
        void send_ownAnswer_isDeliveredWhole() {
            Answered answered = assertInstanceOf(
                    Answered.class,
                    answerTo("HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nContent-Length: 4\r\n\r\nbody", false));
            assertEquals("body", answered.body().toString());
        }

        @Test
        void send_answerWithoutLength_endsWithItsConnection() {
            Answered answered = assertInstanceOf(
                    Answered.class, answerTo("HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\n\r\nbody", true));
            assertEquals("body", answered.body().toString());
        }

        /** Guards against an answer to another request. */
        @Test
        void send_answerOfAnotherRequest_isNotDelivered() {
            assertEquals(
                    new Unknown(UnknownReason.DAMAGED_ANSWER),
                    answerTo("HTTP/1.1 200 OK\r\nId: id-0\r\nSignature: s\r\nContent-Length: 4\r\n\r\nbody", false));
        }

        /** Guards against a part of a body that is taken for the whole. */
        @Test
        void send_truncatedBody_isNotDelivered() {
            assertEquals(
                    new Unknown(UnknownReason.CONNECTION_LOST),
                    answerTo("HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nContent-Length: 9\r\n\r\nbody", true));
        }

        @Test
        void send_bytesThatAreNoAnswer_areNotDelivered() {
            assertInstanceOf(Unknown.class, answerTo("garbage\r\n\r\n", true));
        }

        /** Guards against a success that no backend server has signed. */
        @Test
        void send_successWithoutSignature_isNotDelivered() {
            assertEquals(
                    new Unknown(UnknownReason.DAMAGED_ANSWER),
                    answerTo("HTTP/1.1 200 OK\r\nId: id-1\r\nContent-Length: 0\r\n\r\n", false));
        }

        @Test
        void send_rejected_isNotRun() {
            assertEquals(
                    new NotRun(NotRunReason.REJECTED, true, Duration.ZERO),
                    answerTo("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", false));
        }
    }

    @Nested
    class Endings {
        /** Guards against "not run" for a request that was written. */
        @Test
        void send_closedWithoutAnswer_isUnknown() {
            assertEquals(new Unknown(UnknownReason.CONNECTION_LOST), answerTo("", true));
        }

        @Test
        void send_noAnswerInTime_isUnknown() {
            assertEquals(new Unknown(UnknownReason.DEADLINE), send(serve("", false), Duration.ofMillis(150)));
        }

        @Test
        void send_noListener_isNotRun() {
            assertEquals(
                    new NotRun(NotRunReason.UNREACHABLE, false, Duration.ZERO),
                    send(new Endpoint("127.0.0.1", 1), Duration.ofMillis(700)));
        }

        /** Guards against a write after the backend server was replaced while the connection was opened. */
        @Test
        void send_stoppedByTheLastCheck_isNotRun() {
            mayBeWritten = false;
            assertInstanceOf(NotRun.class, answerTo("HTTP/1.1 200 OK\r\n\r\n", false));
        }

        /** Guards against work that goes on after its client has left. */
        @Test
        void send_cancelled_endsAtOnce() {
            cancelAfterWrite = true;
            assertEquals(new Unknown(UnknownReason.CANCELLED), send(serve("", false), Duration.ofSeconds(4)));
        }
    }
}
