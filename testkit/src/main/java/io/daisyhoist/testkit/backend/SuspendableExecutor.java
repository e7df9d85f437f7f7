package io.daisyhoist.testkit.backend;

import java.util.ArrayList;
import java.util.List;

/** Queues the tasks of a suspended server and runs them in order when it resumes. Confined to one event loop. */
final class SuspendableExecutor {
    private final List<Runnable> queuedTasks = new ArrayList<>();
    private boolean suspended;

    void execute(Runnable task) {
        if (suspended) {
            queuedTasks.add(task);
            return;
        }
        task.run();
    }

    void suspend() {
        suspended = true;
    }

    void resume() {
        suspended = false;
        List<Runnable> tasks = List.copyOf(queuedTasks);
        queuedTasks.clear();
        tasks.forEach(Runnable::run);
    }
}
