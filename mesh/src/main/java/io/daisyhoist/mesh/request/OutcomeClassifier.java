package io.daisyhoist.mesh.request;

import io.daisyhoist.mesh.connection.BackendOutcome;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRun;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRunReason;
import io.daisyhoist.mesh.connection.BackendOutcome.Unknown;
import io.daisyhoist.mesh.connection.BackendOutcome.UnknownReason;

/** Tells what the outcome of a request says about the backend server. Stateless. */
final class OutcomeClassifier {
    private OutcomeClassifier() {}

    /** Returns whether the connection could not be opened or was lost. */
    static boolean isConnectionFailure(BackendOutcome outcome) {
        boolean unreachable = outcome instanceof NotRun notRun && notRun.reason() == NotRunReason.UNREACHABLE;
        return unreachable || isConnectionLost(outcome);
    }

    private static boolean isConnectionLost(BackendOutcome outcome) {
        return outcome instanceof Unknown unknown && unknown.reason() == UnknownReason.CONNECTION_LOST;
    }
}
