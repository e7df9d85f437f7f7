package io.daisyhoist.mesh.request;

import io.daisyhoist.core.admission.Outcome;
import io.daisyhoist.mesh.connection.BackendOutcome;
import io.daisyhoist.mesh.connection.BackendOutcome.Answered;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRun;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRunReason;
import io.daisyhoist.mesh.connection.BackendOutcome.Unknown;
import io.daisyhoist.mesh.connection.BackendOutcome.UnknownReason;
import io.daisyhoist.mesh.connection.BackendRequestData;

/** Tells what the outcome of a request says about the backend server. Stateless. */
final class OutcomeClassifier {
    private OutcomeClassifier() {}

    /** Returns the outcome for admission control. */
    static Outcome classify(BackendRequestData request, BackendOutcome outcome) {
        if (outcome instanceof NotRun notRun) {
            return notRun.reason() == NotRunReason.REJECTED ? Outcome.SHED : Outcome.CANCELLED;
        }
        // The time of a streamed body says more about its client than about the backend server.
        if (request.body().isStreamed() && !isConnectionLost(outcome)) {
            return Outcome.CANCELLED;
        }
        return outcome instanceof Answered ? Outcome.OK : Outcome.LOST;
    }

    /** Returns whether the connection could not be opened or was lost. */
    static boolean isConnectionFailure(BackendOutcome outcome) {
        boolean unreachable = outcome instanceof NotRun notRun && notRun.reason() == NotRunReason.UNREACHABLE;
        return unreachable || isConnectionLost(outcome);
    }

    private static boolean isConnectionLost(BackendOutcome outcome) {
        return outcome instanceof Unknown unknown && unknown.reason() == UnknownReason.CONNECTION_LOST;
    }
}
