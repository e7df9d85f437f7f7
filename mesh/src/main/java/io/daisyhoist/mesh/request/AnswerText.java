package io.daisyhoist.mesh.request;

import java.util.Locale;

import io.daisyhoist.mesh.connection.BackendAnswer;

/** Short texts of answers for logs. Stateless. */
final class AnswerText {
    private AnswerText() {}

    static String of(BackendAnswer answer) {
        if (answer instanceof BackendAnswer.Answered answered) {
            return Integer.toString(answered.status());
        }
        if (answer instanceof BackendAnswer.NotRun notRun) {
            return "not_run:" + notRun.reason().name().toLowerCase(Locale.ROOT);
        }
        return "unknown:" + ((BackendAnswer.Unknown) answer).reason().name().toLowerCase(Locale.ROOT);
    }
}
