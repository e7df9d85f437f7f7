package io.daisyhoist.core.admission;

import java.util.List;

import io.daisyhoist.core.error.Refusal;

/** Result of offering a request to a gate. */
public sealed interface Offer {
    /**
     * The request may be sent now.
     *
     * @param permit permit to return when the request has ended
     */
    record Admitted(Permit permit) implements Offer {}

    /**
     * The request is queued; a later {@link GateUpdate} admits or sheds it.
     *
     * @param ticket its ticket in the queue
     * @param shed queued requests shed in the process: expired ones, and one of lower rank if the queue was full
     */
    record Queued(Ticket ticket, List<GateUpdate.Shed> shed) implements Offer {}

    /**
     * The request was not accepted and did not run.
     *
     * @param refusal reason for the refusal
     */
    record Refused(Refusal refusal) implements Offer {}
}
