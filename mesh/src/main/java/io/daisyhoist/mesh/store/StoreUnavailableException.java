package io.daisyhoist.mesh.store;

import java.util.concurrent.CompletionException;

import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/** A call of the store that was not answered, or not as it should be. */
public final class StoreUnavailableException extends DaisyhoistException {
    private static final long serialVersionUID = 1L;

    private final boolean nothingDone;

    /**
     * Creates the exception.
     *
     * @param nothingDone whether the store has certainly done nothing
     */
    public StoreUnavailableException(String message, boolean nothingDone) {
        super(nothingDone ? ErrorCode.PLATFORM_UNREACHABLE : ErrorCode.OUTCOME_UNKNOWN, message);
        this.nothingDone = nothingDone;
    }

    /** Returns whether the store has certainly done nothing. */
    public boolean isNothingDone() {
        return nothingDone;
    }

    /** Returns whether the call that failed with the given exception has certainly done nothing. */
    public static boolean hasDoneNothing(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof StoreUnavailableException unavailable && unavailable.isNothingDone();
    }
}
