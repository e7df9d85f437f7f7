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
 * <p>Requests start at their intended times whether or not earlier ones are answered, and latency runs from the intended
 * time, so a stalled daemon cannot hide the requests that wait for it. Confined to one event loop.
 */
public final class LoadClient extends VerticleBase {
    private static final int CONNECTIONS_PER_DAEMON = 256;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Leaves the answer at a deadline a fifth of the send timeout for its way back to the client. */
    private static final double DEADLINE_SHARE = 0.8;

    private final LoadPlan plan;
    private final RandomGenerator random;
    private final LoadStats stats = new LoadStats();
    private final Promise<JsonObject> result = Promise.promise();
    private final String runId = UUID.randomUUID().toString().substring(0, 8);
    private HttpClient client;
    private OutcomeFile outcomes;
    private long startNanos;
    private final AtomicInteger pending = new AtomicInteger();
    private int started;
    private boolean allStarted;
    private boolean ended;
    private volatile boolean stopped;

    private LoadClient(LoadPlan plan) {
        this.plan = plan;
        this.random = new Random(plan.seed());
    }

    /** Begins to send the load. */
    public static LoadClient begin(Vertx vertx, LoadPlan plan) {
        LoadClient load = new LoadClient(plan);
        vertx.deployVerticle(load).onFailure(load.result::tryFail);
        return load;
    }

    /** Returns the counts, once every request that was started has ended. May be called on any thread. */
    public Future<JsonObject> result() {
        return result.future();
    }

    /** Returns the number of requests that have started and not ended. May be called on any thread. */
    public int pending() {
        return pending.get();
    }

    /** Starts no further requests; the counts then cover those started. May be called on any thread. */
    public void endEarly() {
        stopped = true;
    }

    @Override
    public Future<?> start() {
        client = vertx.createHttpClient(
                new HttpClientOptions()
                        .setConnectTimeout((int) plan.sendTimeout().toMillis()),
                new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_DAEMON));
        outcomes = new OutcomeFile(plan.outcomeFile());
        startNanos = System.nanoTime();
        vertx.setPeriodic(1, this::startDueRequests);
        return Future.succeededFuture();
    }

    private void startDueRequests(long timer) {
        long now = System.nanoTime();
        while (!stopped && started < plan.requests() && intendedNanos(started) <= now) {
            pending.incrementAndGet();
            new Exchange(next(started), intendedNanos(started)).send(0);
            started++;
        }
        if (stopped || started == plan.requests()) {
            allStarted = true;
            vertx.cancelTimer(timer);
            endIfComplete();
        }
    }

    private long intendedNanos(int number) {
        return startNanos + (long) (number * NANOS_PER_SECOND / plan.ratePerSecond());
    }

    private LoadRequest next(int number) {
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

    private void endIfComplete() {
        if (!ended && allStarted && stats.ended() == started) {
            ended = true;
            outcomes.close();
            JsonObject counts = stats.toJson(started);
            vertx.undeploy(deploymentID()).onComplete(done -> result.tryComplete(counts));
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
            stats.sent();
            sentMicros.add(nowMicros());
            String sendId = request.sendId(number);
            long timeoutMillis = plan.sendTimeout().toMillis();
            client.request(options(sendId, number, timeoutMillis))
                    .compose(open -> exchange(open, sendId))
                    .otherwise(cause -> noAnswer(sendId, SendResult.NOT_CONNECTED))
                    .onSuccess(this::received);
        }

        private Future<SendResult> exchange(HttpClientRequest open, String sendId) {
            return open.send(request.isRepeatable() ? Buffer.buffer() : Buffer.buffer(request.id()))
                    .compose(response ->
                            response.body().map(body -> ResponseCheck.classify(request, sendId, response, body)))
                    .otherwise(cause -> noAnswer(
                            sendId, cause instanceof TimeoutException ? SendResult.TIMED_OUT : SendResult.INTERRUPTED));
        }

        private static SendResult noAnswer(String sendId, String code) {
            return new SendResult(sendId, SendResult.Kind.NO_ANSWER, code, "", "");
        }

        private RequestOptions options(String sendId, int number, long timeoutMillis) {
            int daemon = (request.firstDaemon() + number) % plan.daemons().size();
            RequestOptions options = new RequestOptions()
                    .setMethod(HttpMethod.valueOf(request.method()))
                    .setAbsoluteURI(plan.daemons().get(daemon) + request.path())
                    .setTimeout(timeoutMillis)
                    .putHeader("X-Request-Id", sendId)
                    .putHeader("Daisyhoist-Deadline-Ms", Long.toString((long) (timeoutMillis * DEADLINE_SHARE)));
            return token.isEmpty() ? options : options.putHeader("Daisyhoist-Attempt-Token", token);
        }

        private void received(SendResult last) {
            sends.add(last);
            if (!request.isRepeatable() && token.isEmpty() && last.code().equals("attempt-token-required")) {
                token = last.token();
                send(sends.size());
                return;
            }
            if (mayRepeat(last)) {
                vertx.setTimer(Math.max(1, plan.retryPause().toMillis()), fired -> send(sends.size()));
                return;
            }
            end(last);
        }

        private boolean mayRepeat(SendResult last) {
            boolean useful = last.kind() == SendResult.Kind.NO_ANSWER
                    || last.kind() == SendResult.Kind.REFUSED && (last.isNotRun() || request.isRepeatable());
            long elapsedNanos = System.nanoTime() - intendedNanos;
            return useful && elapsedNanos < plan.requestTimeout().toNanos();
        }

        private void end(SendResult last) {
            pending.decrementAndGet();
            stats.ended(last, System.nanoTime() - intendedNanos);
            outcomes.write(request, token, sends, sentMicros, intendedMicros, nowMicros());
            endIfComplete();
        }
    }
}
