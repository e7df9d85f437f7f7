package io.daisyhoist.testkit.backend;

import java.util.Optional;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;

/**
 * One execution of a request on the simulated backend server.
 *
 * <p>The execution is logged before anything else happens, so a request that is not in the log was not executed.
 * Confined to one event loop.
 */
final class RequestExecution {
    /** Request field that sets the length of the padding in the response. */
    private static final String RESPONSE_BYTES_FIELD = "X-Test-Response-Bytes";

    private final Vertx vertx;
    private final ExecutionLog executionLog;
    private final HttpServerRequest request;
    private final BackendSettings settings;
    private final RequestTarget target;
    private final String requestId;
    private final long incarnation;
    private final int logIndex;
    private long timerId = -1;
    private boolean finished;

    RequestExecution(
            Vertx vertx,
            ExecutionLog executionLog,
            HttpServerRequest request,
            Optional<FencingToken> fencingToken,
            BackendSettings settings,
            long incarnation) {
        this.vertx = vertx;
        this.executionLog = executionLog;
        this.request = request;
        this.settings = settings;
        this.incarnation = incarnation;
        this.target = RequestTarget.parse(request.path(), settings.service());
        this.requestId = header("X-Request-Id");
        this.logIndex = executionLog.append(new Execution(
                executionLog.nextNumber(),
                target.service(),
                target.key(),
                fencingToken.map(FencingToken::partition).orElse(-1),
                fencingToken.map(FencingToken::epoch).orElse(-1L),
                request.method().name(),
                header("Daisyhoist-Attempt-Token"),
                requestId,
                incarnation,
                BackendServer.nowMicros(),
                0,
                Execution.End.RUNNING));
    }

    String sequenceKey() {
        return target.service() + "/" + target.key();
    }

    /** Responds after the service time, unless the deadline expires or the caller closes the request first. */
    void start(long serviceMillis, long sequence, SuspendableExecutor executor, Runnable onEnd) {
        request.response().closeHandler(closed -> executor.execute(() -> finish(Execution.End.CANCELLED, onEnd)));
        long deadlineMillis = deadlineMillis();
        boolean withinDeadline = serviceMillis <= deadlineMillis;
        timerId = vertx.setTimer(
                Math.max(1, Math.min(serviceMillis, deadlineMillis)),
                firedTimerId -> executor.execute(() -> {
                    if (withinDeadline) {
                        complete(sequence, onEnd);
                    } else {
                        expire(onEnd);
                    }
                }));
    }

    /** Ends the execution without a response. */
    void abort(Execution.End end) {
        finish(end, () -> {});
    }

    private void complete(long sequence, Runnable onEnd) {
        if (!finish(Execution.End.FINISHED, onEnd) || request.response().closed()) {
            return;
        }
        ResponseBody body = new ResponseBody(
                target.service(), target.key(), requestId, incarnation, sequence, "x".repeat(paddingBytes()));
        request.response()
                .putHeader("Content-Type", "application/json")
                .end(body.toJson().toBuffer());
    }

    private void expire(Runnable onEnd) {
        if (finish(Execution.End.DEADLINE, onEnd) && !request.response().closed()) {
            request.response().setStatusCode(504).end();
        }
    }

    private boolean finish(Execution.End end, Runnable onEnd) {
        if (finished) {
            return false;
        }
        finished = true;
        vertx.cancelTimer(timerId);
        executionLog.markEnded(logIndex, end, BackendServer.nowMicros());
        onEnd.run();
        return true;
    }

    private int paddingBytes() {
        String text = header(RESPONSE_BYTES_FIELD);
        return text.matches("[0-9]{1,9}") ? Integer.parseInt(text) : settings.bodyBytes();
    }

    private long deadlineMillis() {
        String text = header("Daisyhoist-Deadline-Ms");
        return text.matches("[0-9]{1,9}") ? Long.parseLong(text) : Long.MAX_VALUE;
    }

    private String header(String name) {
        return Optional.ofNullable(request.getHeader(name)).orElse("");
    }
}
