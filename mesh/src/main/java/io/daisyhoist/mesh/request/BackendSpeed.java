package io.daisyhoist.mesh.request;

import java.time.Duration;

import io.daisyhoist.core.routing.CompletionRate;
import io.daisyhoist.core.routing.LoadBalancer;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.connection.BackendOutcome;
import io.daisyhoist.mesh.connection.BackendOutcome.Answered;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRun;

/** Derives the load report of the local backend server from the outcomes of its requests. Confined to the traffic event loop. */
final class BackendSpeed {
    private static final int CLIENT_ERROR = 400;

    private final CompletionRate rate;

    BackendSpeed(TimeSource time) {
        this.rate = new CompletionRate(time);
    }

    /** Records an outcome. An error status is ignored, because it says nothing about the time that the work takes. */
    void onOutcome(BackendOutcome outcome, Duration runTime) {
        if (outcome instanceof Answered answered && answered.status() < CLIENT_ERROR) {
            rate.onCompleted(runTime);
        } else if (outcome instanceof NotRun notRun && notRun.reachedBackend()) {
            rate.onRejected();
        }
    }

    LoadBalancer.Report report(int busy, int limit, double slowdown) {
        return new LoadBalancer.Report(busy, limit, slowdown, rate.perSlotSecond(), rate.rejectedShare());
    }
}
