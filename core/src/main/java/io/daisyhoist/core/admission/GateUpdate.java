package io.daisyhoist.core.admission;

import java.util.List;

import io.daisyhoist.core.error.Refusal;

/**
 * What an event changed for queued requests. Immutable.
 *
 * @param admitted tickets whose requests may be sent now, in this order
 * @param shed tickets whose requests are refused
 */
public record GateUpdate(List<Admission> admitted, List<Shed> shed) {
    /** Nothing changed. */
    public static final GateUpdate NONE = new GateUpdate(List.of(), List.of());

    /**
     * A queued request that may be sent now.
     *
     * @param ticket its former place
     * @param permit to be returned when the request has ended
     */
    public record Admission(Ticket ticket, Permit permit) {}

    /**
     * A queued request that is refused; it did not run.
     *
     * @param ticket its former place
     * @param refusal the reason
     */
    public record Shed(Ticket ticket, Refusal refusal) {}
}
