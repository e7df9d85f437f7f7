package io.daisyhoist.mesh.connection;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import io.daisyhoist.core.retry.BackendLoss;
import io.daisyhoist.core.retry.Fingerprint;
import io.daisyhoist.core.retry.LossReport;
import io.daisyhoist.wire.proto.CrashReport;
import io.daisyhoist.wire.proto.Envelope;

/** Converts reports of lost backend servers to messages and back. Stateless. */
public final class CrashReportCodec {
    private CrashReportCodec() {}

    /** Returns the message for a report. */
    public static Envelope encode(LossReport report) {
        CrashReport.Builder message = CrashReport.newBuilder()
                .setBackend(report.loss().backend())
                .setBackendIncarnation(report.loss().incarnation());
        report.loss().inFlight().forEach(fingerprint -> message.addFingerprints(fingerprint.value()));
        report.cleared().forEach(fingerprint -> message.addClearedFingerprints(fingerprint.value()));
        return Envelope.newBuilder().setCrashReport(message).build();
    }

    /** Returns the report in a message; any content is valid. */
    public static LossReport decode(CrashReport message) {
        BackendLoss loss = new BackendLoss(
                message.getBackend(), message.getBackendIncarnation(), fingerprints(message.getFingerprintsList()));
        return new LossReport(loss, fingerprints(message.getClearedFingerprintsList()));
    }

    private static Set<Fingerprint> fingerprints(List<String> values) {
        return values.stream().map(Fingerprint::new).collect(Collectors.toSet());
    }
}
