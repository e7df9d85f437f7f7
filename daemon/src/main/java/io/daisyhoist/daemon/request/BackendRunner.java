package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.admission.AdmissionGate;
import io.daisyhoist.core.admission.GateUpdate;
import io.daisyhoist.core.admission.LoadReport;
import io.daisyhoist.core.admission.Offer;
import io.daisyhoist.core.admission.Permit;
import io.daisyhoist.core.admission.Ticket;
import io.daisyhoist.core.config.ServiceSettings;
import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.retry.BackendLoss;
import io.daisyhoist.core.retry.CrashSuspects;
import io.daisyhoist.daemon.connection.BackendCall;
import io.daisyhoist.daemon.connection.BackendClient;
import io.daisyhoist.daemon.connection.BackendRequest;
import io.daisyhoist.daemon.connection.BackendResult;
import io.daisyhoist.daemon.connection.BackendResult.NotWritten;
import io.daisyhoist.daemon.connection.BackendResult.NotWrittenReason;
import io.daisyhoist.daemon.connection.BackendResult.Unknown;
import io.daisyhoist.daemon.connection.BackendResult.UnknownReason;
import io.daisyhoist.daemon.connection.HttpField;
import io.daisyhoist.daemon.telemetry.Hop;
import io.daisyhoist.daemon.telemetry.HopSpan;
import io.vertx.core.Future;
import io.vertx.core.Promise;

/**
 * Runs requests on the local backend server, as the gate admits them.
 *
 * <p>Invariants: every request to the backend server passes the gate; a permit is returned once; a request that a crash
 * makes suspect runs alone, a proven one not at all. Confined to the traffic event loop, except where a method says
 * otherwise.
 */
public final class BackendRunner {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long QUEUE_TICK_MILLIS = 5;

    /** Queue of the gate per slot; see section 7 of docs/design.md. */
    public static final int QUEUE_PER_SLOT = 2;

    private record Waiting(BackendRun run, Promise<OutboundResponse> answer) {}

    private final TrafficContext traffic;
    private final AdmissionGate gate;
    private final BackendClient backend;
    private final CrashSuspects suspects;
    private final CrashWatch crashWatch;
    private final Consumer<BackendLoss> lossListener;
    private final Map<Ticket, Waiting> waiting = new HashMap<>();
    private final Set<BackendRun> inFlight = new HashSet<>();
    private boolean timerSet;
    private volatile int publishedInFlight;
    private volatile int publishedLimit;

    /**
     * Creates a runner.
     *
     * @param gate gate of the backend server; used by this runner only
     * @param suspects crash suspects of this daemon; used on the traffic event loop only
     * @param lossListener gets each loss of the backend server, to be sent to the group
     */
    public BackendRunner(
            TrafficContext traffic,
            AdmissionGate gate,
            BackendClient backend,
            CrashSuspects suspects,
            Consumer<BackendLoss> lossListener) {
        this.traffic = traffic;
        this.gate = gate;
        this.backend = backend;
        this.suspects = suspects;
        this.lossListener = lossListener;
        this.crashWatch = new CrashWatch(traffic.self().daemon().name(), traffic.time());
        this.publishedLimit = gate.limit();
    }

    /** Returns the number of requests in flight or waiting; any thread. */
    public int inFlight() {
        return publishedInFlight;
    }

    /** Returns the gate's limit; any thread. */
    public int limit() {
        return publishedLimit;
    }

    /** Takes over changed settings of the service; any thread. */
    public void onSettings(ServiceSettings settings) {
        traffic.execute(() ->
                apply(gate.onSettings(settings.coldLimit(), settings.slots(), QUEUE_PER_SLOT * settings.slots())));
    }

    /** Takes an announcement of the backend server; any thread. */
    public void onAnnouncement(Announcement announcement) {
        traffic.execute(() -> {
            crashWatch.onIncarnation(announcement.incarnation()).ifPresent(this::onLoss);
            apply(gate.onBackendIncarnation(announcement.incarnation()));
            if (announcement.slots() > 0) {
                apply(gate.onLoadReport(
                        new LoadReport(announcement.inFlight(), announcement.slots(), announcement.age())));
            }
        });
    }

    /** Takes a loss that another daemon reports; any thread. */
    public void onReportedLoss(BackendLoss loss) {
        traffic.execute(() -> suspects.onLoss(loss));
    }

    Future<OutboundResponse> run(BackendRun run) {
        CrashSuspects.Verdict verdict = suspects.verdict(run.fingerprint());
        if (verdict == CrashSuspects.Verdict.REFUSE) {
            return Future.succeededFuture(
                    Refusals.notRun(RefusalCode.CRASH_SUSPECT, "the request has crashed backend servers"));
        }
        boolean alone = verdict == CrashSuspects.Verdict.RUN_ALONE || crashWatch.isPendingSuspect(run.fingerprint());
        Duration remaining = run.request().deadline().remaining(traffic.time());
        Offer offer = gate.offer(run.request().rank(), remaining, alone);
        Promise<OutboundResponse> answer = Promise.promise();
        if (offer instanceof Offer.Admitted admitted) {
            dispatch(new Waiting(run, answer), admitted.permit());
        } else if (offer instanceof Offer.Queued queued) {
            enqueue(queued, new Waiting(run, answer));
        } else if (offer instanceof Offer.Refused refused) {
            answer.complete(OutboundResponse.refused(refused.refusal()));
        }
        publish();
        return answer.future();
    }

    private void enqueue(Offer.Queued queued, Waiting entry) {
        Ticket ticket = queued.ticket();
        waiting.put(ticket, entry);
        queued.shed().forEach(this::shed);
        entry.run().cancelled().onSuccess(gone -> traffic.execute(() -> withdraw(ticket)));
        startTimer();
    }

    private void withdraw(Ticket ticket) {
        Waiting entry = waiting.remove(ticket);
        if (entry != null) {
            apply(gate.cancel(ticket));
            entry.answer().complete(Refusals.notRun(RefusalCode.DEADLINE_EXCEEDED, "cancelled while waiting"));
        }
    }

    private void startTimer() {
        if (!timerSet && !waiting.isEmpty()) {
            timerSet = true;
            traffic.after(QUEUE_TICK_MILLIS, () -> {
                timerSet = false;
                apply(gate.advance());
                startTimer();
            });
        }
    }

    private void apply(GateUpdate update) {
        update.shed().forEach(this::shed);
        for (GateUpdate.Admission admission : update.admitted()) {
            Waiting entry = waiting.remove(admission.ticket());
            if (entry != null) {
                dispatch(entry, admission.permit());
            }
        }
        publish();
    }

    private void shed(GateUpdate.Shed shed) {
        Waiting entry = waiting.remove(shed.ticket());
        if (entry != null) {
            entry.answer().complete(OutboundResponse.refused(shed.refusal()));
        }
    }

    private void dispatch(Waiting entry, Permit permit) {
        BackendRun run = entry.run();
        long startNanos = traffic.time().monotonicNanos();
        HopSpan span = traffic.tracer().start(Hop.BACKEND_CALL, run.request().traceparent());
        inFlight.add(run);
        BackendCall call = backend.send(backendRequest(run, span), run.lastCheck());
        if (run.abandonable()) {
            run.cancelled().onSuccess(gone -> call.cancel());
        }
        call.result()
                .onSuccess(result -> traffic.execute(() -> {
                    inFlight.remove(run);
                    Duration latency = Duration.ofNanos(traffic.time().monotonicNanos() - startNanos);
                    learn(run, result);
                    OutboundResponse response = BackendAnswers.toClient(result);
                    span.end(response.status());
                    traffic.metrics()
                            .onBackendResult(
                                    run.request().service(), result.getClass().getSimpleName(), latency);
                    GateUpdate update = gate.complete(permit, BackendAnswers.toGate(result), latency);
                    entry.answer().complete(response);
                    apply(update);
                }));
    }

    private void learn(BackendRun run, BackendResult result) {
        if (result instanceof BackendResult.Answered) {
            crashWatch.onAnswered(run.fingerprint());
            suspects.onGoodRun(run.fingerprint());
        } else if (result instanceof Unknown lost && lost.reason() == UnknownReason.CONNECTION_LOST) {
            crashWatch.onConnectionLost(
                    run.fingerprint(),
                    inFlight.stream().map(BackendRun::fingerprint).collect(Collectors.toSet()));
        } else if (result instanceof NotWritten unwritten
                && unwritten.reason() == NotWrittenReason.CONNECTION_REFUSED) {
            crashWatch.onConnectionRefused().ifPresent(this::onLoss);
        }
    }

    private void onLoss(BackendLoss loss) {
        LOGGER.atWarning().log(
                "event=backend_lost incarnation=%d in_flight=%d",
                loss.incarnation(), loss.inFlight().size());
        suspects.onLoss(loss);
        lossListener.accept(loss);
    }

    private static BackendRequest backendRequest(BackendRun run, HopSpan span) {
        InboundRequest request = run.request();
        List<HttpField> headers = new ArrayList<>(request.headers());
        span.traceparent().ifPresent(text -> headers.add(new HttpField("traceparent", text)));
        return new BackendRequest(
                request.method(), request.path(), headers, request.body(), run.fence(), request.deadline());
    }

    private void publish() {
        publishedInFlight = inFlight.size() + waiting.size();
        publishedLimit = gate.limit();
    }
}
