package io.daisyhoist.daemon.process;

import java.time.Duration;
import java.util.concurrent.Executor;

/** Runs the tasks of the control thread one at a time and in order; tests replace it by a simulated executor. */
public interface ControlExecutor extends Executor {
    /** Runs a task repeatedly with a delay between runs, so that a late run causes no burst of catch-up runs. */
    void scheduleWithFixedDelay(Runnable task, Duration delay);

    /** Runs a task once after a delay. */
    void scheduleOnce(Runnable task, Duration delay);
}
