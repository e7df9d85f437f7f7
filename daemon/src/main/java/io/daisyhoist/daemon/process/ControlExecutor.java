package io.daisyhoist.daemon.process;

import java.time.Duration;
import java.util.concurrent.Executor;

/** Runs the tasks of the control thread one at a time and in order; tests replace it by a simulated executor. */
public interface ControlExecutor extends Executor {
    /** Runs a task repeatedly; a late run does not cause a burst of catch-up runs. */
    void scheduleWithFixedDelay(Runnable task, Duration interval);

    /** Runs a task once after a delay. */
    void scheduleOnce(Runnable task, Duration delay);
}
