package io.daisyhoist.core.admission;

import java.util.List;

import io.daisyhoist.core.error.Refusal;

/** Result of offering a request to an {@link AdmissionController}. */
public sealed interface AdmissionDecision {
    /**
     * The request may be sent now.
     *
     * @param permit permit to return when the request has ended
     */
    record Admitted(Permit permit) implements AdmissionDecision {}

    /**
     * The request is queued; a later {@link AdmissionUpdate} admits or sheds it.
     *
     * @param entry its entry in the queue
     * @param shed queued requests shed in the process: expired ones, and one of lower rank if the queue was full
     */
    record Queued(QueueEntry entry, List<AdmissionUpdate.Shed> shed) implements AdmissionDecision {}

    /**
     * The request was not accepted and did not run.
     *
     * @param refusal reason for the refusal
     */
    record Refused(Refusal refusal) implements AdmissionDecision {}
}
