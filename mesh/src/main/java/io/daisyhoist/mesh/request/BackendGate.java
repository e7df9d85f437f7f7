package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.admission.AdmissionGate;
import io.daisyhoist.core.admission.GateUpdate;
import io.daisyhoist.core.admission.Offer;
import io.daisyhoist.core.admission.Outcome;
import io.daisyhoist.core.admission.Permit;
import io.daisyhoist.core.admission.Rank;
import io.daisyhoist.core.admission.SlotLimit;
import io.daisyhoist.core.admission.Ticket;
import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.core.fleet.LocalBackend;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.route.ServicePolicy;
import io.daisyhoist.core.routing.BackendLoads;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.connection.BackendAnswer;
import io.daisyhoist.mesh.connection.BackendAnswer.NotRun;
import io.daisyhoist.mesh.connection.BackendAnswer.NotRunReason;
import io.daisyhoist.mesh.connection.BackendHttpClient;
import io.daisyhoist.mesh.connection.BackendRequestData;
import io.daisyhoist.mesh.telemetry.FleetMetrics;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.daisyhoist.mesh.version.LocalView;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

/**
 * The one way to the backend server beside this daemon.
 *
 * <p>Invariants: a request is written only if, at that moment, the backend server is the process that was meant, is not
 * leaving, its availability zone is not evacuated, it holds the request's key, and it bears another request; otherwise it
 * is refused as not run. Confined to the traffic event loop.
 */
public final class BackendGate {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int QUEUE_PER_SLOT = 4;

    /** Slots kept for short urgent requests at backend servers that get some beside long ones. */
    private static final int RESERVED_SLOTS = 1;

    /** Backend servers with fewer slots cannot spare one. */
    private static final int MIN_SLOTS_TO_RESERVE = 3;

    /** Pause before a refused client should come again when nothing better is known. */
    private static final Duration SHORT_PAUSE = Duration.ofMillis(100);

    private final TimeSource time;
    private final AvailabilityZone zone;
    private final Supplier<FleetSnapshot> fleet;
    private final Supplier<LocalView> local;
    private final BackendHttpClient client;
    private final AdmissionGate gate;
    private final SlotLimit slots = new SlotLimit(1);
    private final ColdGuard cold;
    private final KeyWorkListener onKeyRequest;
    private final FleetMetrics metrics;
    private final WorkTimes workTimes = new WorkTimes();
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private final Slowdown slowdown;
    private int knownSlots = 1;
    private boolean closed;

    private record Waiting(
            BackendRequestData request, Future<Void> cancelled, Promise<BackendAnswer> answer, long arrivedNanos) {}

    /** Hears of requests for keys. */
    public interface KeyWorkListener {
        /** A request for a key has come that is expected to take the given time. */
        void onKeyRequest(int key, Duration work);
    }

    /** Creates an open gate. */
    public BackendGate(
            TimeSource time,
            AvailabilityZone zone,
            Supplier<FleetSnapshot> fleet,
            Supplier<LocalView> local,
            BackendHttpClient client,
            KeyWorkListener onKeyRequest,
            FleetMetrics metrics) {
        this.time = time;
        this.zone = zone;
        this.fleet = fleet;
        this.local = local;
        this.client = client;
        this.onKeyRequest = onKeyRequest;
        this.metrics = metrics;
        this.gate = new AdmissionGate(time, slots, QUEUE_PER_SLOT);
        this.cold = new ColdGuard(time);
        this.slowdown = new Slowdown(time);
    }

    /** Returns the load that other daemons go by. */
    public BackendLoads.Report load() {
        int limit = local.get().backend().filter(cold::isCold).map(backend -> 1).orElse(gate.limit());
        return new BackendLoads.Report(gate.inFlight() + gate.queued(), limit, slowdown.factor());
    }

    /** Returns the number of requests at the backend server or waiting for it. */
    public int busy() {
        return gate.inFlight() + gate.queued();
    }

    /** Refuses all further requests; those in flight go on. */
    public void close() {
        closed = true;
    }

    /**
     * Runs a request.
     *
     * @param queueWait longest time that it may wait for a slot
     * @param cancelled completes when nobody waits for the answer any more
     */
    public Future<BackendAnswer> run(BackendRequestData request, Duration queueWait, Future<Void> cancelled) {
        Optional<NotRunReason> refused = refusal(request);
        if (refused.isPresent()) {
            return Future.succeededFuture(refuse(request, refused.get(), SHORT_PAUSE));
        }
        LocalBackend backend = local.get().backend().orElseThrow();
        adoptSlots(backend);
        if (!cold.mayBeSent(backend, policy(request))) {
            return Future.succeededFuture(refuse(request, NotRunReason.COLD, cold.untilRoom()));
        }
        if (request.hasAlternative() && slowdown.isSlowNow()) {
            return Future.succeededFuture(refuse(request, NotRunReason.SLOW, Duration.ZERO));
        }
        Rank rank = Rank.ofPriority(request.priority());
        request.key().ifPresent(key -> onKeyRequest.onKeyRequest(key, workTimes.expected(rank)));
        Promise<BackendAnswer> answer = Promise.promise();
        Waiting entry = new Waiting(request, cancelled, answer, time.monotonicNanos());
        reserveForShortRequests();
        Offer offer = gate.offer(rank, queueWait);
        if (offer instanceof Offer.Admitted admitted) {
            send(entry, admitted.permit());
        } else if (offer instanceof Offer.Queued queued) {
            queued.shed().forEach(this::shed);
            enqueue(queued.ticket(), entry, queueWait);
        } else if (offer instanceof Offer.Refused overload) {
            answer.complete(
                    refuse(request, NotRunReason.OVERLOADED, overload.refusal().retryAfter()));
        }
        return answer.future();
    }

    private void reserveForShortRequests() {
        Optional<Rank> shortRank = knownSlots >= MIN_SLOTS_TO_RESERVE ? workTimes.shortBesideLong() : Optional.empty();
        gate.reserve(shortRank.orElse(Rank.INTERNAL), shortRank.isPresent() ? RESERVED_SLOTS : 0);
    }

    private void enqueue(Ticket ticket, Waiting entry, Duration queueWait) {
        waiting.put(ticket.number(), entry);
        long timer = Vertx.currentContext()
                .owner()
                .setTimer(Math.max(1, queueWait.toMillis() + 1), fired -> apply(gate.advance()));
        entry.answer()
                .future()
                .onComplete(done -> Vertx.currentContext().owner().cancelTimer(timer));
        entry.cancelled().onComplete(gone -> {
            if (waiting.remove(ticket.number()) != null) {
                entry.answer().complete(new NotRun(NotRunReason.CANCELLED, false, Duration.ZERO));
                apply(gate.cancel(ticket));
            }
        });
    }

    private void adoptSlots(LocalBackend backend) {
        int current = backend.heartbeat().slots();
        if (current != knownSlots) {
            knownSlots = current;
            apply(gate.onSettings(1, current, QUEUE_PER_SLOT * current));
        }
    }

    private Optional<ServicePolicy> policy(BackendRequestData request) {
        return fleet.get().config().flatMap(config -> config.service(request.service()));
    }

    private Optional<NotRunReason> refusal(BackendRequestData request) {
        LocalView view = local.get();
        if (closed || view.backend().filter(LocalBackend::leaving).isPresent()) {
            return Optional.of(NotRunReason.LEAVING);
        }
        boolean sameProcess = view.backend()
                .filter(backend -> backend.life().equals(request.expected()))
                .filter(backend -> backend.heartbeat().service().equals(request.service()))
                .isPresent();
        if (!sameProcess) {
            return Optional.of(NotRunReason.WRONG_BACKEND);
        }
        if (fleet.get().isEvacuated(zone)) {
            return Optional.of(NotRunReason.ZONE_EVACUATED);
        }
        boolean held = request.key().isEmpty() || view.holds(request.key().getAsInt(), time.monotonicNanos());
        if (held) {
            return Optional.empty();
        }
        return Optional.of(view.mayHold() ? NotRunReason.KEY_MOVING : NotRunReason.KEY_NOT_HELD);
    }

    private NotRun refuse(BackendRequestData request, NotRunReason reason, Duration retryAfter) {
        metrics.onRefusal(reason.name().toLowerCase(Locale.ROOT));
        LOGGER.atInfo().log(
                "event=gate_refused request=%s reason=%s busy=%d limit=%d retry_after_ms=%d",
                request.id(), reason, busy(), gate.limit(), retryAfter.toMillis());
        return new NotRun(reason, false, retryAfter);
    }

    private void apply(GateUpdate update) {
        update.shed().forEach(this::shed);
        update.admitted().forEach(admission -> {
            Waiting entry = waiting.remove(admission.ticket().number());
            if (entry == null) {
                apply(gate.complete(admission.permit(), Outcome.CANCELLED, Duration.ZERO));
                return;
            }
            send(entry, admission.permit());
        });
    }

    private void shed(GateUpdate.Shed shed) {
        Waiting entry = waiting.remove(shed.ticket().number());
        if (entry != null) {
            Refusal refusal = shed.refusal();
            entry.answer().complete(refuse(entry.request(), NotRunReason.OVERLOADED, refusal.retryAfter()));
        }
    }

    private void send(Waiting entry, Permit permit) {
        BackendRequestData request = entry.request();
        Optional<NotRunReason> refused = refusal(request);
        if (refused.isPresent()) {
            entry.answer().complete(refuse(request, refused.get(), SHORT_PAUSE));
            apply(gate.complete(permit, Outcome.CANCELLED, Duration.ZERO));
            return;
        }
        LocalBackend backend = local.get().backend().orElseThrow();
        if (!cold.mayBeSent(backend, policy(request))) {
            entry.answer().complete(refuse(request, NotRunReason.COLD, cold.untilRoom()));
            apply(gate.complete(permit, Outcome.CANCELLED, Duration.ZERO));
            return;
        }
        long sentNanos = time.monotonicNanos();
        client.send(backend.heartbeat().address(), request, entry.cancelled(), new GateObserver(request, backend))
                .onSuccess(answer -> {
                    Duration latency = Duration.ofNanos(time.monotonicNanos() - sentNanos);
                    log(entry, answer, sentNanos, latency);
                    workTimes.onEnd(Rank.ofPriority(request.priority()), latency);
                    onConnectionTrouble(answer);
                    entry.answer().complete(answer);
                    apply(gate.complete(permit, outcome(answer), latency));
                });
    }

    private void log(Waiting entry, BackendAnswer answer, long sentNanos, Duration latency) {
        metrics.onRun(entry.request().service(), AnswerText.of(answer), latency);
        LOGGER.atInfo().log(
                "event=gate_run request=%s backend=%s outcome=%s queue_ms=%d run_ms=%d in_flight=%d limit=%d",
                entry.request().id(),
                entry.request().expected(),
                AnswerText.of(answer),
                Duration.ofNanos(sentNanos - entry.arrivedNanos()).toMillis(),
                latency.toMillis(),
                gate.inFlight(),
                gate.limit());
    }

    private void onConnectionTrouble(BackendAnswer answer) {
        boolean unreachable = answer instanceof NotRun notRun && notRun.reason() == NotRunReason.UNREACHABLE;
        boolean lost = answer instanceof BackendAnswer.Unknown unknown
                && unknown.reason() == BackendAnswer.UnknownReason.CONNECTION_LOST;
        if (unreachable || lost) {
            cold.onConnectionFailure();
        }
    }

    private static Outcome outcome(BackendAnswer answer) {
        if (answer instanceof BackendAnswer.Answered) {
            return Outcome.OK;
        }
        if (answer instanceof NotRun notRun) {
            return notRun.reason() == NotRunReason.REJECTED ? Outcome.SHED : Outcome.CANCELLED;
        }
        return Outcome.LOST;
    }

    /** Decides at the last moment, and learns what the exchange shows. */
    private final class GateObserver implements BackendHttpClient.Observer {
        private final BackendRequestData request;
        private final LocalBackend backend;

        private GateObserver(BackendRequestData request, LocalBackend backend) {
            this.request = request;
            this.backend = backend;
        }

        @Override
        public boolean mayBeWritten() {
            return refusal(request).isEmpty() && cold.mayBeSent(backend, policy(request));
        }

        @Override
        public void onWritten() {
            cold.onSend();
        }

        @Override
        public void onSlowdown(double reported) {
            slowdown.onReport(reported);
        }
    }
}
