package io.daisyhoist.mesh.store;

import java.util.concurrent.CompletionException;

import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/** Thrown when a store call gets no response or an unexpected one. */
public final class StoreUnavailableException extends DaisyhoistException {
    private static final long serialVersionUID = 1L;

    private final boolean notApplied;

    /**
     * Creates the exception.
     *
     * @param notApplied whether the store has certainly not applied the call
     */
    public StoreUnavailableException(String message, boolean notApplied) {
        super(notApplied ? ErrorCode.PLATFORM_UNREACHABLE : ErrorCode.OUTCOME_UNKNOWN, message);
        this.notApplied = notApplied;
    }

    /** Returns whether the store has certainly not applied the call. */
    public boolean isNotApplied() {
        return notApplied;
    }

    /** Returns whether the store has certainly not applied the call that failed with the given exception. */
    public static boolean isCertainlyNotApplied(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof StoreUnavailableException unavailable && unavailable.isNotApplied();
    }
}
