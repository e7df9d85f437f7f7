package io.daisyhoist.testkit.backend;

import java.util.Optional;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;

/**
 * One run of a request on the stand-in.
 *
 * <p>The run is in the execution log before anything else happens, so a request that is not in the log did not run.
 * Confined to one event loop.
 */
final class BackendRun {
    private final Vertx vertx;
    private final ExecutionLog log;
    private final HttpServerRequest request;
    private final BackendSettings settings;
    private final RequestTarget target;
    private final String requestId;
    private final long incarnation;
    private final int logIndex;
    private long timer = -1;
    private boolean over;

    BackendRun(
            Vertx vertx,
            ExecutionLog log,
            HttpServerRequest request,
            Optional<FenceToken> fence,
            BackendSettings settings,
            long incarnation) {
        this.vertx = vertx;
        this.log = log;
        this.request = request;
        this.settings = settings;
        this.incarnation = incarnation;
        this.target = RequestTarget.of(request.path(), settings.service());
        this.requestId = header("X-Request-Id");
        this.logIndex = log.begin(new Execution(
                log.nextNumber(),
                target.service(),
                target.key(),
                fence.map(FenceToken::partition).orElse(-1),
                fence.map(FenceToken::epoch).orElse(-1L),
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

    /** Answers after the service time, unless the deadline comes first or the caller closes the request. */
    void begin(long serviceMillis, long sequence, Freezer freezer, Runnable whenOver) {
        request.response().closeHandler(closed -> freezer.run(() -> end(Execution.End.CANCELLED, whenOver)));
        long deadlineMillis = deadlineMillis();
        boolean inTime = serviceMillis <= deadlineMillis;
        timer = vertx.setTimer(
                Math.max(1, Math.min(serviceMillis, deadlineMillis)),
                fired -> freezer.run(() -> {
                    if (inTime) {
                        finish(sequence, whenOver);
                    } else {
                        expire(whenOver);
                    }
                }));
    }

    /** Ends the run without an answer. */
    void abandon(Execution.End how) {
        end(how, () -> {});
    }

    private void finish(long sequence, Runnable whenOver) {
        if (!end(Execution.End.FINISHED, whenOver) || request.response().closed()) {
            return;
        }
        ResponseBody body = new ResponseBody(
                target.service(), target.key(), requestId, incarnation, sequence, "x".repeat(settings.bodyBytes()));
        request.response()
                .putHeader("Content-Type", "application/json")
                .end(body.toJson().toBuffer());
    }

    private void expire(Runnable whenOver) {
        if (end(Execution.End.DEADLINE, whenOver) && !request.response().closed()) {
            request.response().setStatusCode(504).end();
        }
    }

    private boolean end(Execution.End how, Runnable whenOver) {
        if (over) {
            return false;
        }
        over = true;
        vertx.cancelTimer(timer);
        log.end(logIndex, how, BackendServer.nowMicros());
        whenOver.run();
        return true;
    }

    private long deadlineMillis() {
        String text = header("Daisyhoist-Deadline-Ms");
        return text.matches("[0-9]{1,9}") ? Long.parseLong(text) : Long.MAX_VALUE;
    }

    private String header(String name) {
        return Optional.ofNullable(request.getHeader(name)).orElse("");
    }
}
