package io.daisyhoist.core.atmostonce;

/** Decision of the ledger on how to handle an attempt. */
public sealed interface AttemptDecision {
    /** The attempt has never run: run it, then report the outcome to the ledger. */
    record Run() implements AttemptDecision {}

    /** The attempt is running: wait for the outcome of that run. */
    record Join() implements AttemptDecision {}

    /**
     * The attempt has run: answer with the recorded response.
     *
     * @param response the response of the run
     */
    record Replay(RecordedResponse response) implements AttemptDecision {}

    /** The attempt has run, but its response was too large to keep. */
    record AlreadyRun() implements AttemptDecision {}

    /**
     * The attempt may have run: it must neither be run nor reported as not run.
     *
     * @param reason why the outcome is unknown
     */
    record OutcomeUnknown(Reason reason) implements AttemptDecision {}

    /** The attempt has not run here, but the partition is being handed over: hold it, then ask the next owner. */
    record HandedOver() implements AttemptDecision {}

    /** Reasons why the outcome of an attempt is unknown. */
    enum Reason {
        /** The connection to the backend server was lost after the request had been written. */
        RUN_LOST,
        /** This ledger does not hold all records of the epoch that issued the token. */
        EPOCH_NOT_COVERED,
        /** The token has exceeded its lifetime, or a record issued at the same time or later has been evicted. */
        EXPIRED,
        /** The issue time of the token is in the future, or the token belongs to another partition. */
        NOT_ISSUED_HERE
    }
}
