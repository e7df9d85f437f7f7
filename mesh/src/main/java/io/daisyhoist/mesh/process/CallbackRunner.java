package io.daisyhoist.mesh.process;

import com.google.common.flogger.FluentLogger;

/**
 * Runs the callbacks of loops that must not end: watches, listings, registrations and messages of other daemons.
 *
 * <p>Invariant: an exception of a callback is logged and counted, and does not reach the loop. Errors are passed on.
 * Thread-safe if the failure listener is.
 */
final class CallbackRunner {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Runnable onFailure;

    /**
     * Creates a runner.
     *
     * @param onFailure called after each failed callback, for example to count it
     */
    CallbackRunner(Runnable onFailure) {
        this.onFailure = onFailure;
    }

    /**
     * Runs a callback.
     *
     * @param callback name of the callback, for the log
     * @param subject what the callback handles, for the log
     */
    void run(String callback, Object subject, Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOGGER.atSevere().withCause(e).log("event=callback_failed callback=%s subject=%s", callback, subject);
            onFailure.run();
        }
    }
}
