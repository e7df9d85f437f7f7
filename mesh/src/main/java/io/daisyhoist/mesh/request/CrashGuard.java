package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.retry.BackendLoss;
import io.daisyhoist.core.retry.CrashDetector;
import io.daisyhoist.core.retry.CrashSuspects;
import io.daisyhoist.core.retry.Fingerprint;
import io.daisyhoist.core.retry.LossReport;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.connection.BackendOutcome;
import io.daisyhoist.mesh.connection.BackendOutcome.Unknown;
import io.daisyhoist.mesh.connection.BackendOutcome.UnknownReason;
import io.daisyhoist.mesh.connection.BackendRequestData;

/**
 * Keeps requests that crash backend servers away from the local one.
 *
 * <p>The daemons of a service report losses to each other, with the requests that were in flight and those of them that have
 * completed since. A request is refused after several losses without a completion. Reports are repeated, so that a daemon
 * that has restarted or missed one learns of it. Confined to the traffic event loop.
 */
public final class CrashGuard {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** A harmless request is rarely in flight during this many losses without completing in between. */
    private static final int LOSSES_TO_REFUSE = 3;

    /** Backend servers are back some seconds after a crash. */
    private static final Duration MAX_RESTART_TIME = Duration.ofSeconds(15);

    /** Bounds the messages of one repetition. */
    private static final int MAX_REPEATED_REPORTS = 16;

    private final CrashSuspects suspects;
    private final CrashDetector detector;
    private final Supplier<List<FleetMember>> peers;
    private final Reporter reporter;
    private final Set<BackendRequestData> inFlight = Collections.newSetFromMap(new IdentityHashMap<>());
    private Optional<BackendProcessId> knownProcess = Optional.empty();
    private int nextReceiver;

    /** Sends reports to other daemons. */
    public interface Reporter {
        /** Sends a report to each receiver; it may be lost. */
        void report(List<FleetMember> receivers, LossReport report);
    }

    /**
     * Creates a guard that knows of no losses.
     *
     * @param self daemon of the backend server
     * @param peers other daemons whose backend servers run the same requests
     */
    public CrashGuard(DaemonId self, TimeSource time, Supplier<List<FleetMember>> peers, Reporter reporter) {
        this.suspects = new CrashSuspects(time);
        this.detector = new CrashDetector(self.name(), time, MAX_RESTART_TIME);
        this.peers = peers;
        this.reporter = reporter;
    }

    /** Returns whether a request has crashed backend servers and must not run. */
    boolean mustRefuse(BackendRequestData request) {
        if (suspects.isEmpty()) {
            return false;
        }
        Fingerprint fingerprint = fingerprint(request);
        return suspects.lossCount(fingerprint) >= LOSSES_TO_REFUSE
                || suspects.verdict(fingerprint) == CrashSuspects.Verdict.REFUSE;
    }

    /** Records the present process of the local backend server. */
    void onProcess(BackendProcessId process) {
        if (knownProcess.filter(process::equals).isEmpty()) {
            knownProcess = Optional.of(process);
            detector.onIncarnation(process.startedMillis()).ifPresent(this::onLoss);
        }
    }

    /** Records that a request was sent to the local backend server. */
    void onSent(BackendRequestData request) {
        inFlight.add(request);
    }

    /** Records that the local backend server refused a connection. */
    void onConnectionRefused() {
        detector.onConnectionRefused().ifPresent(this::onLoss);
    }

    /** Records the outcome of a request. */
    void onOutcome(BackendRequestData request, BackendOutcome outcome) {
        if (outcome instanceof Unknown unknown && unknown.reason() == UnknownReason.CONNECTION_LOST) {
            detector.onConnectionLost(
                    fingerprint(request),
                    inFlight.stream().map(CrashGuard::fingerprint).collect(Collectors.toSet()));
        } else if (outcome instanceof BackendOutcome.Answered) {
            onAnswered(request);
        }
        inFlight.remove(request);
    }

    private void onAnswered(BackendRequestData request) {
        if (suspects.isEmpty() && !detector.hasSuspects()) {
            return;
        }
        Fingerprint fingerprint = fingerprint(request);
        detector.onResponse(fingerprint);
        suspects.onSuccess(fingerprint).forEach(loss -> reporter.report(peers.get(), suspects.report(loss)));
    }

    private void onLoss(BackendLoss loss) {
        LOGGER.atWarning().log(
                "event=backend_lost backend=%s incarnation=%d in_flight=%d",
                loss.backend(), loss.incarnation(), loss.inFlight().size());
        suspects.onLoss(loss);
        reporter.report(peers.get(), suspects.report(loss));
    }

    /** Handles the report of another daemon. */
    public void onReport(LossReport report) {
        if (suspects.onReport(report)) {
            LOGGER.atInfo().log(
                    "event=backend_loss_reported backend=%s incarnation=%d in_flight=%d cleared=%d",
                    report.loss().backend(),
                    report.loss().incarnation(),
                    report.loss().inFlight().size(),
                    report.cleared().size());
        }
    }

    /** Repeats the latest reports to one other daemon; to be called about once per second. */
    public void repeatReports() {
        List<FleetMember> receivers = suspects.isEmpty() ? List.of() : peers.get();
        if (receivers.isEmpty()) {
            return;
        }
        FleetMember receiver = receivers.get(Math.floorMod(nextReceiver++, receivers.size()));
        suspects.reports(MAX_REPEATED_REPORTS).forEach(report -> reporter.report(List.of(receiver), report));
    }

    /** Identifies a request that a client sends again, which then has another id; of a streamed body, the first part is known. */
    private static Fingerprint fingerprint(BackendRequestData request) {
        String target = request.service() + " " + request.callerService() + " " + request.uri();
        return Fingerprint.ofRequest(
                request.method(), target, request.body().first().getBytes());
    }
}
