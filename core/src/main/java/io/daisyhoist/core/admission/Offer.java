package io.daisyhoist.core.admission;

import java.util.List;

import io.daisyhoist.core.error.Refusal;

/** Answer of a gate to an offered request. */
public sealed interface Offer {
    /**
     * The request may be sent now.
     *
     * @param permit to be returned when the request has ended
     */
    record Admitted(Permit permit) implements Offer {}

    /**
     * The request waits; a later {@link GateUpdate} admits or sheds it.
     *
     * @param ticket its place
     * @param shed tickets of lower rank that lost their place to it
     */
    record Queued(Ticket ticket, List<GateUpdate.Shed> shed) implements Offer {}

    /**
     * The request was not accepted and did not run.
     *
     * @param refusal the reason
     */
    record Refused(Refusal refusal) implements Offer {}
}
