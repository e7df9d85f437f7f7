package io.daisyhoist.core.admission;

/**
 * Entry of a request in the queue of a gate. Immutable.
 *
 * @param number number of the request, unique within its gate and increasing in order of arrival
 * @param rank rank of the request
 * @param deadlineNanos monotonic time at which the deadline of the request passes
 * @param exclusive whether the request may run only while no other request is in flight
 */
public record QueueEntry(long number, Rank rank, long deadlineNanos, boolean exclusive) {}
