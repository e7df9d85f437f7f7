package io.daisyhoist.core.atmostonce;

/** What the ledger decides about an arriving attempt. */
public sealed interface AttemptDecision {
    /** It never ran: run it, then report its end to the ledger. */
    record Run() implements AttemptDecision {}

    /** It is running: wait for that run's end. */
    record Join() implements AttemptDecision {}

    /**
     * It ran: answer with the recorded response.
     *
     * @param response the response of the run
     */
    record Replay(RecordedResponse response) implements AttemptDecision {}

    /** It ran, but its response was too large to keep. */
    record AlreadyRun() implements AttemptDecision {}

    /**
     * It may have run: never run it and never call it not run.
     *
     * @param reason why it is not known
     */
    record OutcomeUnknown(Reason reason) implements AttemptDecision {}

    /** It has not run here, but the partition is being handed over: hold it and ask the next owner. */
    record HandedOver() implements AttemptDecision {}

    /** Why the outcome of an attempt is not known. */
    enum Reason {
        /** The connection to the backend server was lost after the request had been written. */
        RUN_LOST,
        /** The records of the epoch that issued the token are not complete here. */
        EPOCH_NOT_COVERED,
        /** The token is older than its lifetime, or a record that old has been dropped. */
        EXPIRED,
        /** The token is dated in the future or belongs to another partition. */
        NOT_ISSUED_HERE
    }
}
