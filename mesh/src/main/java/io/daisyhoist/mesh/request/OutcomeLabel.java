package io.daisyhoist.mesh.request;

import java.util.Locale;

import io.daisyhoist.mesh.connection.BackendOutcome;

/** Labels of outcomes for logs and metrics. Stateless. */
final class OutcomeLabel {
    private OutcomeLabel() {}

    static String of(BackendOutcome outcome) {
        if (outcome instanceof BackendOutcome.Answered answered) {
            return Integer.toString(answered.status());
        }
        if (outcome instanceof BackendOutcome.NotRun notRun) {
            return "not_run:" + notRun.reason().name().toLowerCase(Locale.ROOT);
        }
        return "unknown:" + ((BackendOutcome.Unknown) outcome).reason().name().toLowerCase(Locale.ROOT);
    }
}
