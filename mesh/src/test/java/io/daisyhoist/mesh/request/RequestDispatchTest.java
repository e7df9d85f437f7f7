package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.retry.FleetRetryBudget;
import io.daisyhoist.core.route.ClientLimits;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.route.Route;
import io.daisyhoist.core.route.RouteKind;
import io.daisyhoist.core.route.RouteTable;
import io.daisyhoist.core.route.WeightedService;
import io.daisyhoist.core.routing.LoadBalancer;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.body.RequestBody;
import io.daisyhoist.mesh.connection.BackendOutcome;
import io.daisyhoist.mesh.connection.BackendOutcome.Answered;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRun;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRunReason;
import io.daisyhoist.mesh.connection.BackendOutcome.Unknown;
import io.daisyhoist.mesh.connection.BackendOutcome.UnknownReason;
import io.daisyhoist.mesh.connection.BackendRequestData;
import io.daisyhoist.mesh.telemetry.FleetMetrics;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RequestDispatchTest {
    private static final ServiceName SERVICE = new ServiceName("s");
    private static final AvailabilityZone ZONE = new AvailabilityZone("z");
    private static final BackendOutcome OK = new Answered(200, List.of(), Buffer.buffer("body"));
    private static final BackendOutcome FAILED = new Answered(500, List.of(), Buffer.buffer());
    private static final BackendOutcome LOST = new Unknown(UnknownReason.CONNECTION_LOST);
    private static final BackendOutcome REJECTED = new NotRun(NotRunReason.REJECTED, true, Duration.ZERO);
    private static final BackendOutcome FULL = new NotRun(NotRunReason.OVERLOADED, false, Duration.ofMillis(80));

    private final Vertx vertx = Vertx.vertx();
    private final TimeSource time = new SystemTimeSource();
    private final Deque<Future<BackendOutcome>> plannedOutcomes = new ArrayDeque<>();
    private final List<DaemonId> sentTo = new ArrayList<>();
    private final List<Duration> queueWaits = new ArrayList<>();
    private final List<BackendRequestData> sent = new ArrayList<>();
    private final LoadBalancer loadBalancer = new LoadBalancer(time, new SplittableRandom(1), ZONE);
    private final IngressAdmission ingress = new IngressAdmission(time, new SplittableRandom(1));
    private final Promise<Void> disconnected = Promise.promise();
    private int backends = 3;
    private boolean disconnectAfterSend;
    private boolean roomIsKnown = true;
    private Optional<Duration> knownRun = Optional.empty();

    @AfterEach
    void close() {
        vertx.close();
    }

    private static FleetMember member(int index) {
        return new FleetMember(
                new DaemonId("d" + index),
                1,
                ZONE,
                "10.0.0." + index,
                1000,
                SERVICE,
                Optional.of(new FleetMember.MemberBackend("b" + index, 1, 6, true)));
    }

    private static Route route(RouteKind kind) {
        return new Route(
                "r",
                "h",
                "/",
                kind,
                Duration.ofSeconds(5),
                Duration.ofMillis(200),
                1,
                List.of(new WeightedService(SERVICE, 1)),
                2,
                false);
    }

    private FleetSnapshot fleet() {
        Map<DaemonId, FleetMember> members = new HashMap<>();
        for (int i = 1; i <= backends; i++) {
            members.put(member(i).daemon(), member(i));
        }
        FleetConfig config = new FleetConfig(1, new RouteTable(List.of()), Map.of(), ClientLimits.DEFAULT);
        return new FleetSnapshot(Optional.of(config), Set.of(), members, Map.of());
    }

    private ClientRequest request(RouteKind kind, Duration deadline) {
        return new ClientRequest(
                "id",
                route(kind),
                1,
                OptionalInt.empty(),
                "POST",
                "/",
                List.of(),
                RequestBody.of(Buffer.buffer()),
                time.monotonicNanos(),
                Deadline.after(time, deadline),
                disconnected.future(),
                Optional.empty(),
                false);
    }

    private ClientResponse run(RouteKind kind, Duration deadline, BackendOutcome... planned) {
        return run(request(kind, deadline), planned);
    }

    private ClientResponse run(ClientRequest request, BackendOutcome... planned) {
        for (BackendOutcome outcome : planned) {
            plannedOutcomes.add(Future.succeededFuture(outcome));
        }
        // The slack is not available at first, so the ratio allows the retries.
        FleetRetryBudget budget = new FleetRetryBudget(time, 10, 0, Duration.ofSeconds(10));
        for (int i = 1; i <= backends; i++) {
            DaemonId daemon = member(i).daemon();
            knownRun.ifPresent(run -> loadBalancer.onResponse(daemon, "r", run));
            if (roomIsKnown) {
                loadBalancer.onReport(daemon, new LoadBalancer.Report(0, 6, 1));
            }
        }
        RequestContext context = new RequestContext(
                vertx,
                time,
                this::fleet,
                SERVICE,
                (member, backendRequest, queueWait, cancelled) -> {
                    sentTo.add(member.daemon());
                    queueWaits.add(queueWait);
                    sent.add(backendRequest);
                    if (disconnectAfterSend) {
                        disconnected.tryComplete();
                    }
                    return plannedOutcomes.isEmpty()
                            ? Promise.<BackendOutcome>promise().future()
                            : plannedOutcomes.poll();
                },
                loadBalancer,
                budget,
                new FleetMetrics(),
                new MemoryBudget(1 << 20));
        try {
            Promise<ClientResponse> result = Promise.promise();
            vertx.getOrCreateContext()
                    .runOnContext(started -> new RequestDispatch(context, request, SERVICE, ingress)
                            .start()
                            .onComplete(result));
            return result.future().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new AssertionError("no response", e);
        }
    }

    private ClientResponse run(RouteKind kind, BackendOutcome... planned) {
        return run(kind, Duration.ofSeconds(2), planned);
    }

    @Nested
    class Disconnect {
        /** Guards against sending a refused request to another backend server after its client has disconnected. */
        @Test
        void start_clientDisconnectedBeforeRefusal_isNotSentAgain() {
            disconnectAfterSend = true;
            run(RouteKind.IDEMPOTENT, FULL, OK);
            assertEquals(1, sentTo.size());
        }

        /** Guards against waiting for a key move, and sending again, after the client has disconnected. */
        @Test
        void start_clientDisconnectedWhileKeyMoves_isNotSentAgain() {
            disconnectAfterSend = true;
            run(RouteKind.IDEMPOTENT, new NotRun(NotRunReason.KEY_MOVING, false, Duration.ZERO), OK);
            assertEquals(1, sentTo.size());
        }
    }

    @Nested
    class NonIdempotent {
        /** Guards against running a request again that may have run. */
        @Test
        void start_outcomeUnknown_isNeitherRetriedNorReportedAsNotRun() {
            assertEquals(
                    ClientResponse.OUTCOME_UNKNOWN,
                    run(RouteKind.NON_IDEMPOTENT, LOST, OK).status());
            assertEquals(1, sentTo.size());
        }

        /** Guards against running a request again that ran and failed. */
        @Test
        void start_backendFailed_deliversItsResponse() {
            assertEquals(500, run(RouteKind.NON_IDEMPOTENT, FAILED, OK).status());
            assertEquals(1, sentTo.size());
        }

        /** Guards against sending a request that crashes backend servers to one daemon after the other. */
        @Test
        void start_crashSuspect_isRefusedAtOnce() {
            NotRun suspect = new NotRun(NotRunReason.CRASH_SUSPECT, false, Duration.ofMillis(100));
            ClientResponse response = run(RouteKind.IDEMPOTENT, suspect, OK);
            assertEquals(ClientResponse.NOT_RUN, response.status());
            assertEquals(1, sentTo.size());
        }

        @Test
        void start_rejectedAsNotRun_retriesOnAnotherBackend() {
            assertEquals(200, run(RouteKind.NON_IDEMPOTENT, REJECTED, OK).status());
            assertEquals(2, Set.copyOf(sentTo).size());
        }

        /** Guards against arrivals at one full backend server after the other, which exhaust the retry budget of the fleet. */
        @Test
        void start_rejectedAndNoRoomKnown_isNotSentAgain() {
            roomIsKnown = false;
            assertEquals(
                    ClientResponse.NOT_RUN,
                    run(RouteKind.NON_IDEMPOTENT, REJECTED, OK).status());
            assertEquals(1, sentTo.size());
        }

        /** Guards against reporting "not run" for a request whose outcome is unknown at its deadline. */
        @Test
        void start_noResponseAtDeadline_isTimedOut() {
            assertEquals(
                    ClientResponse.TIMED_OUT,
                    run(RouteKind.NON_IDEMPOTENT, Duration.ofMillis(400)).status());
        }
    }

    @Nested
    class Idempotent {
        @Test
        void start_outcomeUnknown_retriesOnAnotherBackend() {
            assertEquals(200, run(RouteKind.IDEMPOTENT, LOST, OK).status());
            assertEquals(2, Set.copyOf(sentTo).size());
        }

        /** Guards against retries that use the budget and cannot end before the deadline. */
        @Test
        void start_runTakesLongerThanRemainingTime_isNotSentAgain() {
            knownRun = Optional.of(Duration.ofSeconds(3));
            assertEquals(
                    ClientResponse.OUTCOME_UNKNOWN,
                    run(RouteKind.IDEMPOTENT, LOST, OK).status());
            assertEquals(1, sentTo.size());
        }

        /** Guards against more attempts than the route allows. */
        @Test
        void start_allFail_stopsAtMaxAttempts() {
            assertEquals(500, run(RouteKind.IDEMPOTENT, FAILED, FAILED, FAILED).status());
            assertEquals(2, sentTo.size());
        }

        /** Guards against reporting "not run" after an earlier attempt that may have run. */
        @Test
        void start_lostThenFull_isNotReportedAsNotRun() {
            assertEquals(
                    ClientResponse.OUTCOME_UNKNOWN,
                    run(RouteKind.IDEMPOTENT, LOST, FULL, FULL, FULL).status());
        }
    }

    @Nested
    class SlowBackend {
        private static final BackendOutcome SLOW = new NotRun(NotRunReason.SLOW, false, Duration.ZERO);

        /** Guards against waiting for a backend server that is temporarily slowed by other processes of its instance. */
        @Test
        void start_backendIsSlow_triesAnotherBackendOnce() {
            assertEquals(200, run(RouteKind.NON_IDEMPOTENT, SLOW, OK).status());
            assertEquals(
                    List.of(true, false),
                    sent.stream().map(BackendRequestData::hasAlternative).toList());
            assertEquals(2, Set.copyOf(sentTo).size());
        }

        /** Guards against a refusal although a slow backend server has free slots. */
        @Test
        void start_othersAreFull_returnsToSlowBackend() {
            assertEquals(200, run(RouteKind.IDEMPOTENT, SLOW, FULL, FULL, OK).status());
            assertEquals(sentTo.get(0), sentTo.get(3));
        }

        /** Guards against a refusal after several full backend servers although the slow one could run the request. */
        @Test
        void start_manyOthersAreFull_returnsToSlowBackend() {
            backends = 8;
            assertEquals(
                    200, run(RouteKind.IDEMPOTENT, SLOW, FULL, FULL, FULL, OK).status());
            assertEquals(sentTo.get(0), sentTo.get(4));
        }
    }

    @Nested
    class Admission {
        /** Guards against a sender that ends the wait of a request which the backend server's daemon would still serve. */
        @Test
        void start_deadlineLongAfterTarget_mayWaitBeyondTarget() {
            run(RouteKind.IDEMPOTENT, Duration.ofSeconds(5), OK);
            assertTrue(queueWaits.get(0).toMillis() >= 1_000, queueWaits.toString());
        }

        /** The daemon of the backend server decides by the target which requests wait. */
        @Test
        void start_anyRequest_statesTargetAndExpectedWork() {
            ClientRequest request = request(RouteKind.IDEMPOTENT, Duration.ofSeconds(2));
            ingress.onResponse(request, SERVICE, Duration.ofMillis(70));
            run(request, OK);
            assertEquals(Duration.ofMillis(70), sent.get(0).expectedWork());
            assertEquals(
                    request.arrivedNanos() + Duration.ofMillis(200).toNanos(),
                    sent.get(0).target().atNanos());
        }

        /** Guards against sending a request to full backend servers that cannot serve it before its deadline. */
        @Test
        void start_allFullBeyondDeadline_isRefusedBeforeItIsSent() {
            roomIsKnown = false;
            for (int i = 1; i <= backends; i++) {
                loadBalancer.onReport(member(i).daemon(), new LoadBalancer.Report(30, 6, 1));
            }
            ClientRequest request = request(RouteKind.IDEMPOTENT, Duration.ofMillis(600));
            ingress.onResponse(request, SERVICE, Duration.ofMillis(300));
            ClientResponse response = run(request, OK);
            assertEquals(ClientResponse.NOT_RUN, response.status());
            assertEquals(List.of(), sentTo);
            assertTrue(response.retryAfter().orElseThrow().toMillis() <= 200, response.toString());
        }
    }

    @Nested
    class Refusals {
        /** Under overload a refusal by admission control does not count as an attempt, and the client gets its retry delay. */
        @Test
        void start_allBackendsFull_isRefusedImmediatelyWithRetryAfter() {
            long startNanos = time.monotonicNanos();
            ClientResponse response = run(RouteKind.NON_IDEMPOTENT, FULL, FULL, FULL);
            assertEquals(ClientResponse.NOT_RUN, response.status());
            assertEquals(Optional.of(Duration.ofMillis(80)), response.retryAfter());
            assertEquals(3, sentTo.size());
            assertTrue(
                    time.monotonicNanos() - startNanos < Duration.ofSeconds(1).toNanos());
        }

        /** Guards against a retry delay after which the client has no time left. */
        @Test
        void start_longRetryAfter_isLimitedToThirdOfRemainingTime() {
            BackendOutcome full = new NotRun(NotRunReason.OVERLOADED, false, Duration.ofSeconds(10));
            Duration wait = run(RouteKind.IDEMPOTENT, Duration.ofMillis(900), full, full, full)
                    .retryAfter()
                    .orElseThrow();
            assertTrue(wait.compareTo(Duration.ofMillis(300)) <= 0, wait.toString());
        }

        /** Guards against a retry delay that a client with little time left does not honour. */
        @Test
        void start_littleTimeLeft_retryAfterIsAtMostThirdOfIt() {
            Duration wait = run(RouteKind.IDEMPOTENT, Duration.ofMillis(75), FULL, FULL, FULL)
                    .retryAfter()
                    .orElseThrow();
            assertTrue(wait.toMillis() <= 25, wait.toString());
        }
    }
}
