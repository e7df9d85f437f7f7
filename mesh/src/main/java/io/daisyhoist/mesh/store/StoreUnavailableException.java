package io.daisyhoist.mesh.store;

import java.util.concurrent.CompletionException;

import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/** Thrown when a store call gets no response or an unexpected one. */
public final class StoreUnavailableException extends DaisyhoistException {
    private static final long serialVersionUID = 1L;

    private final boolean notApplied;
    private final boolean invalidResponse;

    /**
     * Creates the exception.
     *
     * @param notApplied whether the store has certainly not applied the call
     */
    public StoreUnavailableException(String message, boolean notApplied) {
        this(message, notApplied, false);
    }

    private StoreUnavailableException(String message, boolean notApplied, boolean invalidResponse) {
        super(notApplied ? ErrorCode.PLATFORM_UNREACHABLE : ErrorCode.OUTCOME_UNKNOWN, message);
        this.notApplied = notApplied;
        this.invalidResponse = invalidResponse;
    }

    /** Creates the exception for bytes that are no response, so that the outcome is unknown. */
    public static StoreUnavailableException invalidResponse(String problem) {
        return new StoreUnavailableException("invalid response of the store: " + problem, false, true);
    }

    /** Returns whether a call failed because of bytes that are no response. */
    public static boolean isInvalidResponse(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof StoreUnavailableException unavailable && unavailable.invalidResponse;
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
