package io.daisyhoist.core.admission;

import java.util.List;

import io.daisyhoist.core.error.Refusal;

/**
 * Queued requests that an event admitted or shed. Immutable.
 *
 * @param admitted queued requests that may be sent now, in this order
 * @param shed queued requests that are refused
 */
public record AdmissionUpdate(List<Admission> admitted, List<Shed> shed) {
    /** No queued request was admitted or shed. */
    public static final AdmissionUpdate NONE = new AdmissionUpdate(List.of(), List.of());

    /**
     * A queued request that may be sent now.
     *
     * @param entry its entry in the queue
     * @param permit permit to return when the request has ended
     */
    public record Admission(QueueEntry entry, Permit permit) {}

    /**
     * A queued request that is refused without having run.
     *
     * @param entry its entry in the queue
     * @param refusal reason for the refusal
     */
    public record Shed(QueueEntry entry, Refusal refusal) {}
}
