package io.daisyhoist.mesh.request;

import java.util.Locale;

import io.daisyhoist.mesh.connection.BackendAnswer;

/** Labels of outcomes for logs and metrics. Stateless. */
final class OutcomeLabel {
    private OutcomeLabel() {}

    static String of(BackendAnswer outcome) {
        if (outcome instanceof BackendAnswer.Answered answered) {
            return Integer.toString(answered.status());
        }
        if (outcome instanceof BackendAnswer.NotRun notRun) {
            return "not_run:" + notRun.reason().name().toLowerCase(Locale.ROOT);
        }
        return "unknown:" + ((BackendAnswer.Unknown) outcome).reason().name().toLowerCase(Locale.ROOT);
    }
}
