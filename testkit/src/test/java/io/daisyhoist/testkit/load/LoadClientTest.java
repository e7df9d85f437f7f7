package io.daisyhoist.testkit.load;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.daisyhoist.testkit.Futures;
import io.daisyhoist.testkit.backend.RequestTarget;
import io.daisyhoist.testkit.backend.ResponseBody;
import io.daisyhoist.testkit.check.CheckMain;
import io.daisyhoist.testkit.check.RequestOutcome;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LoadClientTest {
    private final Map<String, Integer> sendsByToken = new ConcurrentHashMap<>();
    private Vertx vertx;

    @TempDir
    private Path folder;

    @BeforeEach
    void start() {
        vertx = Vertx.vertx();
    }

    @AfterEach
    void stop() {
        Futures.awaitResult(vertx.close());
    }

    /** Guards against a retry under a new token, which would execute the request twice. */
    @Test
    void post_lostAndRefused_retriesWithSameToken() {
        JsonObject result = runLoad(loadPlan(20, 1, 200), this::failTwiceThenRespond);
        assertEquals(20, result.getInteger("answered"), result.encode());
        assertEquals(20, sendsByToken.size());
        sendsByToken.values().forEach(sends -> assertEquals(3, sends));
        List<RequestOutcome> outcomes = CheckMain.readOutcomes(folder.resolve("outcomes"));
        assertEquals(20, outcomes.stream().filter(RequestOutcome::isAnswered).count());
        assertEquals("NO_ANSWER", outcomes.get(0).sends().get(1).kind());
    }

    /** Guards against counting a truncated response or the response to another request as complete. */
    @Test
    void response_ofOtherRequestOrTruncated_isWrong() {
        JsonObject otherRequest = runLoad(loadPlan(5, 0, 200), request -> respond(request, "other-request.0"));
        assertEquals(5, otherRequest.getInteger("wrong"), otherRequest.encode());
        JsonObject truncated =
                runLoad(loadPlan(5, 0, 200), request -> request.response().end("{\"service\":\"archive\","));
        assertEquals(5, truncated.getInteger("wrong"), truncated.encode());
    }

    /** Guards against coordinated omission: latency must include the time that requests wait during a stall. */
    @Test
    void latency_duringStall_countsFromIntendedTime() {
        long stallEnd = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1_000);
        JsonObject result = runLoad(loadPlan(200, 0, 400), request -> {
            long waitMillis = TimeUnit.NANOSECONDS.toMillis(stallEnd - System.nanoTime());
            vertx.setTimer(Math.max(1, waitMillis), fired -> respond(request, request.getHeader("X-Request-Id")));
        });
        assertEquals(200, result.getInteger("answered"), result.encode());
        double median = result.getJsonObject("latency_ms").getDouble("p50");
        assertTrue(median > 300, "half of the requests were due more than 300 ms before the stall ended: " + median);
    }

    private JsonObject runLoad(LoadPlan plan, Handler<HttpServerRequest> daemon) {
        int port = Futures.awaitResult(
                        vertx.createHttpServer().requestHandler(daemon).listen(0, "127.0.0.1"))
                .actualPort();
        LoadPlan atPort = new LoadPlan(
                List.of("http://127.0.0.1:" + port),
                plan.keyedServices(),
                plan.keylessServices(),
                plan.requestCount(),
                plan.ratePerSecond(),
                plan.keysPerService(),
                plan.postShare(),
                plan.keylessShare(),
                plan.sendTimeout(),
                plan.requestTimeout(),
                plan.retryDelay(),
                plan.outcomeFile(),
                plan.seed());
        return Futures.awaitResult(LoadClient.start(vertx, atPort).result());
    }

    private LoadPlan loadPlan(int requests, double postShare, double rate) {
        return new LoadPlan(
                List.of(),
                List.of("archive"),
                List.of(),
                requests,
                rate,
                10,
                postShare,
                0,
                Duration.ofSeconds(2),
                Duration.ofSeconds(10),
                Duration.ofMillis(5),
                Optional.of(folder.resolve("outcomes")),
                1);
    }

    /** Closes the connection of the first send with a token, refuses the second as not run, responds to the third. */
    private void failTwiceThenRespond(HttpServerRequest request) {
        String token = request.getHeader("Daisyhoist-Attempt-Token");
        if (token == null) {
            request.response()
                    .setStatusCode(428)
                    .putHeader("Daisyhoist-Refusal", "attempt-token-required")
                    .putHeader("Daisyhoist-Run", "not-run")
                    .putHeader("Daisyhoist-Attempt-Token", "t-" + request.getHeader("X-Request-Id"))
                    .end();
            return;
        }
        switch (sendsByToken.merge(token, 1, Integer::sum)) {
            case 1 -> request.connection().close();
            case 2 ->
                request.response()
                        .setStatusCode(503)
                        .putHeader("Daisyhoist-Refusal", "overloaded")
                        .putHeader("Daisyhoist-Run", "not-run")
                        .end();
            default -> respond(request, request.getHeader("X-Request-Id"));
        }
    }

    private static void respond(HttpServerRequest request, String requestId) {
        RequestTarget target = RequestTarget.parse(request.path(), "");
        ResponseBody body = new ResponseBody(target.service(), target.key(), requestId, 1, 1, "x");
        request.response().end(body.toJson().toBuffer());
    }
}
