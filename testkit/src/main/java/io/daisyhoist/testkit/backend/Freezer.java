package io.daisyhoist.testkit.backend;

import java.util.ArrayList;
import java.util.List;

/** Holds back all steps of a frozen server and runs them in order when it resumes. Confined to one event loop. */
final class Freezer {
    private final List<Runnable> held = new ArrayList<>();
    private boolean frozen;

    void run(Runnable step) {
        if (frozen) {
            held.add(step);
            return;
        }
        step.run();
    }

    void freeze() {
        frozen = true;
    }

    void resume() {
        frozen = false;
        List<Runnable> steps = List.copyOf(held);
        held.clear();
        steps.forEach(Runnable::run);
    }
}
