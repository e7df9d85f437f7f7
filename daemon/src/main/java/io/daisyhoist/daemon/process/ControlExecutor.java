package io.daisyhoist.daemon.process;

import java.time.Duration;
import java.util.concurrent.Executor;

/** Runs the tasks of one control thread, one at a time and in order; replaced by a simulated one in tests. */
public interface ControlExecutor extends Executor {
    /** Runs a task repeatedly; a late run does not cause a burst of catch-up runs. */
    void scheduleRepeating(Runnable task, Duration interval);

    /** Runs a task once after a delay. */
    void scheduleOnce(Runnable task, Duration delay);
}
