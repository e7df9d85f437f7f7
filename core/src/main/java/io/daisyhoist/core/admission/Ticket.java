package io.daisyhoist.core.admission;

/**
 * Place of a request in the queue of a gate. Immutable.
 *
 * @param number unique at its gate, rising with arrival
 * @param rank priority
 * @param deadlineNanos monotonic time after which the request is useless
 * @param alone whether the request may run only while nothing else is in flight
 */
public record Ticket(long number, Rank rank, long deadlineNanos, boolean alone) {}
