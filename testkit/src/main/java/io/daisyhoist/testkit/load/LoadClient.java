package io.daisyhoist.testkit.load;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;

/**
 * Open-loop load client.
 *
 * <p>Requests start at their intended times whether or not earlier ones have received a response, and latency is
 * measured from the intended time. This avoids coordinated omission: the delay of requests that wait for a stalled
 * daemon is counted. Confined to one event loop.
 */
public final class LoadClient extends VerticleBase {
    private static final int CONNECTIONS_PER_DAEMON = 256;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Leaves a fifth of the send timeout for a response sent at the deadline to reach the client. */
    private static final double DEADLINE_SHARE = 0.8;

    private final LoadPlan plan;
    private final RandomGenerator random;
    private final LoadStats stats = new LoadStats();
    private final Promise<JsonObject> result = Promise.promise();
    private final String runId = UUID.randomUUID().toString().substring(0, 8);
    private HttpClient client;
    private OutcomeWriter outcomes;
    private long startNanos;
    private final AtomicInteger pendingRequests = new AtomicInteger();
    private int startedRequests;
    private boolean allStarted;
    private boolean finished;
    private volatile boolean sendingStopped;

    private LoadClient(LoadPlan plan) {
        this.plan = plan;
        this.random = new Random(plan.seed());
    }

    /** Starts to send the load. */
    public static LoadClient start(Vertx vertx, LoadPlan plan) {
        LoadClient loadClient = new LoadClient(plan);
        vertx.deployVerticle(loadClient).onFailure(loadClient.result::tryFail);
        return loadClient;
    }

    /** Returns the counts once all started requests have ended. May be called on any thread. */
    public Future<JsonObject> result() {
        return result.future();
    }

    /** Returns the number of started requests that have not ended. May be called on any thread. */
    public int pendingRequests() {
        return pendingRequests.get();
    }

    /** Stops starting requests; the counts then cover those already started. May be called on any thread. */
    public void stopSending() {
        sendingStopped = true;
    }

    @Override
    public Future<?> start() {
        client = vertx.createHttpClient(
                new HttpClientOptions()
                        .setConnectTimeout((int) plan.sendTimeout().toMillis()),
                new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_DAEMON));
        outcomes = new OutcomeWriter(plan.outcomeFile());
        startNanos = System.nanoTime();
        vertx.setPeriodic(1, this::startDueRequests);
        return Future.succeededFuture();
    }

    private void startDueRequests(long timer) {
        long now = System.nanoTime();
        while (!sendingStopped && startedRequests < plan.requestCount() && intendedNanos(startedRequests) <= now) {
            pendingRequests.incrementAndGet();
            new Exchange(createRequest(startedRequests), intendedNanos(startedRequests)).send(0);
            startedRequests++;
        }
        if (sendingStopped || startedRequests == plan.requestCount()) {
            allStarted = true;
            vertx.cancelTimer(timer);
            finishIfComplete();
        }
    }

    private long intendedNanos(int number) {
        return startNanos + (long) (number * NANOS_PER_SECOND / plan.ratePerSecond());
    }

    private LoadRequest createRequest(int number) {
        boolean keyless = !plan.keylessServices().isEmpty()
                && (plan.keyedServices().isEmpty() || random.nextDouble() < plan.keylessShare());
        List<String> services = keyless ? plan.keylessServices() : plan.keyedServices();
        String service = services.get(random.nextInt(services.size()));
        String key = keyless ? "" : "key-" + random.nextInt(plan.keysPerService());
        String method = random.nextDouble() < plan.postShare() ? "POST" : "GET";
        return new LoadRequest(
                runId + "-" + number,
                method,
                service,
                key,
                number % plan.daemons().size());
    }

    private void finishIfComplete() {
        if (!finished && allStarted && stats.completedCount() == startedRequests) {
            finished = true;
            outcomes.close();
            JsonObject countsJson = stats.toJson(startedRequests);
            vertx.undeploy(deploymentID()).onComplete(done -> result.tryComplete(countsJson));
        }
    }

    private static long nowMicros() {
        return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    }

    /** One request with all its sends. Confined to the event loop of the client. */
    private final class Exchange {
        private final LoadRequest request;
        private final long intendedNanos;
        private final long intendedMicros;
        private final List<SendResult> sends = new ArrayList<>();
        private final List<Long> sentMicros = new ArrayList<>();
        private String token = "";

        Exchange(LoadRequest request, long intendedNanos) {
            this.request = request;
            this.intendedNanos = intendedNanos;
            this.intendedMicros = nowMicros() - (System.nanoTime() - intendedNanos) / 1_000;
        }

        void send(int number) {
            stats.countSend();
            sentMicros.add(nowMicros());
            String sendId = request.sendId(number);
            long timeoutMillis = plan.sendTimeout().toMillis();
            client.request(requestOptions(sendId, number, timeoutMillis))
                    .compose(httpRequest -> sendRequest(httpRequest, sendId))
                    .otherwise(cause -> noResponse(sendId, SendResult.NOT_CONNECTED))
                    .onSuccess(this::handleResult);
        }

        private Future<SendResult> sendRequest(HttpClientRequest httpRequest, String sendId) {
            return httpRequest
                    .send(request.isIdempotent() ? Buffer.buffer() : Buffer.buffer(request.id()))
                    .compose(response ->
                            response.body().map(body -> ResponseClassifier.classify(request, sendId, response, body)))
                    .otherwise(cause -> noResponse(
                            sendId, cause instanceof TimeoutException ? SendResult.TIMED_OUT : SendResult.INTERRUPTED));
        }

        private static SendResult noResponse(String sendId, String code) {
            return new SendResult(sendId, SendResult.Kind.NO_ANSWER, code, "", "");
        }

        private RequestOptions requestOptions(String sendId, int number, long timeoutMillis) {
            int daemon = (request.firstDaemon() + number) % plan.daemons().size();
            RequestOptions options = new RequestOptions()
                    .setMethod(HttpMethod.valueOf(request.method()))
                    .setAbsoluteURI(plan.daemons().get(daemon) + request.path())
                    .setTimeout(timeoutMillis)
                    .putHeader("X-Request-Id", sendId)
                    .putHeader("Daisyhoist-Deadline-Ms", Long.toString((long) (timeoutMillis * DEADLINE_SHARE)));
            return token.isEmpty() ? options : options.putHeader("Daisyhoist-Attempt-Token", token);
        }

        private void handleResult(SendResult last) {
            sends.add(last);
            if (!request.isIdempotent() && token.isEmpty() && last.code().equals("attempt-token-required")) {
                token = last.token();
                send(sends.size());
                return;
            }
            if (shouldRetry(last)) {
                vertx.setTimer(Math.max(1, plan.retryDelay().toMillis()), timerId -> send(sends.size()));
                return;
            }
            finish(last);
        }

        private boolean shouldRetry(SendResult last) {
            boolean retryable = last.kind() == SendResult.Kind.NO_ANSWER
                    || last.kind() == SendResult.Kind.REFUSED && (last.isNotRun() || request.isIdempotent());
            long elapsedNanos = System.nanoTime() - intendedNanos;
            return retryable && elapsedNanos < plan.requestTimeout().toNanos();
        }

        private void finish(SendResult last) {
            pendingRequests.decrementAndGet();
            stats.recordResult(last, System.nanoTime() - intendedNanos);
            outcomes.write(request, token, sends, sentMicros, intendedMicros, nowMicros());
            finishIfComplete();
        }
    }
}
