package io.daisyhoist.daemon.process;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;

/**
 * Executor with a single thread to which all control state is confined.
 *
 * <p>Tasks run one at a time, in order of submission; a failing task is logged and does not stop later ones; an error ends the
 * process. Tasks submitted after {@link #close()} are dropped. Thread-safe.
 */
public final class ControlThread implements ControlExecutor, AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "control");
        thread.setDaemon(true);
        return thread;
    });

    @Override
    public void execute(Runnable task) {
        try {
            executor.execute(loggingFailures(task));
        } catch (RejectedExecutionException e) {
            LOGGER.atFine().log("event=control_task_dropped reason=closed");
        }
    }

    @Override
    public void scheduleWithFixedDelay(Runnable task, Duration delay) {
        executor.scheduleWithFixedDelay(loggingFailures(task), 0, delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void scheduleOnce(Runnable task, Duration delay) {
        try {
            executor.schedule(loggingFailures(task), delay.toMillis(), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOGGER.atFine().log("event=control_task_dropped reason=closed");
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private static Runnable loggingFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOGGER.atSevere().withCause(e).log("event=control_task_failed");
            } catch (Error e) {
                // The executor would swallow the error and end a repeated task.
                FatalErrors.exit("control", e);
            }
        };
    }
}
