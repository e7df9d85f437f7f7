package io.daisyhoist.daemon.process;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;

/** Runs the tasks of the control thread one at a time and in order; tests replace it by a simulated executor. */
public interface ControlExecutor extends Executor {
    /** Runs a task repeatedly with a delay between runs, so that a late run causes no burst of catch-up runs. */
    void scheduleWithFixedDelay(Runnable task, Duration delay);

    /** Runs a task once after a delay. */
    void scheduleOnce(Runnable task, Duration delay);

    /**
     * Runs an action with the result or the failure of a stage when that has completed.
     *
     * <p>An exception of the action is handled like that of any other task; a dependent stage would swallow it.
     */
    default <T> void whenComplete(CompletionStage<T> stage, BiConsumer<? super T, ? super Throwable> action) {
        stage.whenComplete((result, failure) -> execute(() -> action.accept(result, failure)));
    }
}
