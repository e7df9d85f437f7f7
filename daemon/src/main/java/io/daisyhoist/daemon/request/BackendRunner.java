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
import io.daisyhoist.core.admission.AdmissionController;
import io.daisyhoist.core.admission.AdmissionDecision;
import io.daisyhoist.core.admission.AdmissionUpdate;
import io.daisyhoist.core.admission.LoadReport;
import io.daisyhoist.core.admission.Permit;
import io.daisyhoist.core.admission.QueueEntry;
import io.daisyhoist.core.config.ServiceSettings;
import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.retry.BackendLoss;
import io.daisyhoist.core.retry.CrashDetector;
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
 * Runs requests on the local backend server when the admission controller admits them.
 *
 * <p>Invariants: every request to the backend server holds a permit of the admission controller; a permit is returned
 * exactly once; a request that is suspected of crashing backend servers runs exclusively, and one that is proven to is
 * refused. Confined to the traffic event loop, except where a method says otherwise.
 */
public final class BackendRunner {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long QUEUE_POLL_INTERVAL_MILLIS = 5;

    /** A restarted backend server announces itself within a second. */
    private static final Duration RESTART_ANNOUNCEMENT_TIME = Duration.ofSeconds(5);

    /** Queue capacity of the admission controller per slot; see section 7 of docs/design.md. */
    public static final int QUEUE_CAPACITY_PER_SLOT = 2;

    private record QueuedRun(BackendRun run, Promise<OutboundResponse> responsePromise) {}

    private final TrafficContext traffic;
    private final AdmissionController admissionController;
    private final BackendClient backend;
    private final CrashSuspects suspects;
    private final CrashDetector crashDetector;
    private final Consumer<BackendLoss> lossListener;
    private final Map<QueueEntry, QueuedRun> queuedRuns = new HashMap<>();
    private final Set<BackendRun> inFlight = new HashSet<>();
    private boolean timerActive;
    private volatile int publishedInFlight;
    private volatile int publishedLimit;

    /**
     * Creates a runner.
     *
     * @param admissionController admission controller of the backend server; used by this runner only
     * @param suspects crash suspects of this daemon; used on the traffic event loop only
     * @param lossListener notified of each loss of the backend server, so that it can be reported to the group
     */
    public BackendRunner(
            TrafficContext traffic,
            AdmissionController admissionController,
            BackendClient backend,
            CrashSuspects suspects,
            Consumer<BackendLoss> lossListener) {
        this.traffic = traffic;
        this.admissionController = admissionController;
        this.backend = backend;
        this.suspects = suspects;
        this.lossListener = lossListener;
        this.crashDetector =
                new CrashDetector(traffic.self().daemon().name(), traffic.time(), RESTART_ANNOUNCEMENT_TIME);
        this.publishedLimit = admissionController.limit();
    }

    /** Returns the number of requests in flight or queued; callable from any thread. */
    public int inFlight() {
        return publishedInFlight;
    }

    /** Returns the concurrency limit of the admission controller; callable from any thread. */
    public int limit() {
        return publishedLimit;
    }

    /** Applies changed settings of the service; callable from any thread. */
    public void onSettings(ServiceSettings settings) {
        traffic.execute(() -> applyUpdate(admissionController.onSettings(
                settings.coldLimit(), settings.slots(), QUEUE_CAPACITY_PER_SLOT * settings.slots())));
    }

    /** Processes an announcement of the backend server; callable from any thread. */
    public void onAnnouncement(Announcement announcement) {
        traffic.execute(() -> {
            crashDetector.onIncarnation(announcement.incarnation()).ifPresent(this::onBackendLoss);
            applyUpdate(admissionController.onBackendIncarnation(announcement.incarnation()));
            if (announcement.slots() > 0) {
                applyUpdate(admissionController.onLoadReport(
                        new LoadReport(announcement.inFlight(), announcement.slots(), announcement.age())));
            }
        });
    }

    /** Processes a backend loss that another daemon reports; callable from any thread. */
    public void onReportedLoss(BackendLoss loss) {
        traffic.execute(() -> suspects.onLoss(loss));
    }

    Future<OutboundResponse> run(BackendRun run) {
        CrashSuspects.Verdict verdict = suspects.verdict(run.fingerprint());
        if (verdict == CrashSuspects.Verdict.REFUSE) {
            return Future.succeededFuture(
                    Refusals.notRun(RefusalCode.CRASH_SUSPECT, "the request has crashed backend servers"));
        }
        boolean exclusive =
                verdict == CrashSuspects.Verdict.RUN_EXCLUSIVELY || crashDetector.isPendingSuspect(run.fingerprint());
        Duration remaining = run.request().deadline().remaining(traffic.time());
        AdmissionDecision decision = admissionController.offer(run.request().rank(), remaining, exclusive);
        Promise<OutboundResponse> responsePromise = Promise.promise();
        if (decision instanceof AdmissionDecision.Admitted admitted) {
            dispatch(new QueuedRun(run, responsePromise), admitted.permit());
        } else if (decision instanceof AdmissionDecision.Queued queued) {
            enqueue(queued, new QueuedRun(run, responsePromise));
        } else if (decision instanceof AdmissionDecision.Refused refused) {
            responsePromise.complete(OutboundResponse.refused(refused.refusal()));
        }
        publishLoad();
        return responsePromise.future();
    }

    private void enqueue(AdmissionDecision.Queued queued, QueuedRun queuedRun) {
        QueueEntry queueEntry = queued.entry();
        queuedRuns.put(queueEntry, queuedRun);
        queued.shed().forEach(this::shed);
        queuedRun.run().cancelled().onSuccess(ignored -> traffic.execute(() -> cancelQueued(queueEntry)));
        startQueueTimer();
    }

    private void cancelQueued(QueueEntry queueEntry) {
        QueuedRun queuedRun = queuedRuns.remove(queueEntry);
        if (queuedRun != null) {
            applyUpdate(admissionController.cancel(queueEntry));
            queuedRun
                    .responsePromise()
                    .complete(Refusals.notRun(RefusalCode.DEADLINE_EXCEEDED, "cancelled while waiting"));
        }
    }

    private void startQueueTimer() {
        if (!timerActive && !queuedRuns.isEmpty()) {
            timerActive = true;
            traffic.schedule(QUEUE_POLL_INTERVAL_MILLIS, () -> {
                timerActive = false;
                applyUpdate(admissionController.processQueue());
                startQueueTimer();
            });
        }
    }

    private void applyUpdate(AdmissionUpdate update) {
        update.shed().forEach(this::shed);
        for (AdmissionUpdate.Admission admission : update.admitted()) {
            QueuedRun queuedRun = queuedRuns.remove(admission.entry());
            if (queuedRun != null) {
                dispatch(queuedRun, admission.permit());
            }
        }
        publishLoad();
    }

    private void shed(AdmissionUpdate.Shed shed) {
        QueuedRun queuedRun = queuedRuns.remove(shed.entry());
        if (queuedRun != null) {
            queuedRun.responsePromise().complete(OutboundResponse.refused(shed.refusal()));
        }
    }

    private void dispatch(QueuedRun queuedRun, Permit permit) {
        BackendRun run = queuedRun.run();
        long startNanos = traffic.time().monotonicNanos();
        HopSpan span = traffic.tracer().start(Hop.BACKEND_CALL, run.request().traceparent());
        inFlight.add(run);
        BackendCall call = backend.send(backendRequest(run, span), run.preWriteCheck());
        if (run.cancellableAfterWrite()) {
            run.cancelled().onSuccess(ignored -> call.cancel());
        }
        call.result()
                .onSuccess(result -> traffic.execute(() -> {
                    inFlight.remove(run);
                    Duration latency = Duration.ofNanos(traffic.time().monotonicNanos() - startNanos);
                    updateCrashDetection(run, result);
                    OutboundResponse response = BackendResultMapper.toResponse(result);
                    span.end(response.status());
                    traffic.metrics()
                            .onBackendResult(run.request().service(), BackendResultMapper.metricLabel(result), latency);
                    AdmissionUpdate update = admissionController.complete(
                            permit, BackendResultMapper.toAdmissionOutcome(result), latency);
                    queuedRun.responsePromise().complete(response);
                    applyUpdate(update);
                }));
    }

    private void updateCrashDetection(BackendRun run, BackendResult result) {
        if (result instanceof BackendResult.Answered) {
            crashDetector.onResponse(run.fingerprint());
            suspects.onSuccess(run.fingerprint());
        } else if (result instanceof Unknown unknown && unknown.reason() == UnknownReason.CONNECTION_LOST) {
            crashDetector.onConnectionLost(
                    run.fingerprint(),
                    inFlight.stream().map(BackendRun::fingerprint).collect(Collectors.toSet()));
        } else if (result instanceof NotWritten notWritten
                && notWritten.reason() == NotWrittenReason.CONNECTION_REFUSED) {
            crashDetector.onConnectionRefused().ifPresent(this::onBackendLoss);
        }
    }

    private void onBackendLoss(BackendLoss loss) {
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
                request.method(), request.path(), headers, request.body(), run.fencingToken(), request.deadline());
    }

    private void publishLoad() {
        publishedInFlight = inFlight.size() + queuedRuns.size();
        publishedLimit = admissionController.limit();
    }
}
