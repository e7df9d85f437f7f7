package io.daisyhoist.core.admission;

/**
 * Queued request of an {@link AdmissionController}. Immutable.
 *
 * @param number number of the request, unique within its controller and increasing in order of arrival
 * @param rank rank of the request
 * @param deadlineNanos monotonic time at which the deadline of the request passes
 * @param exclusive whether the request may run only while no other request is in flight
 */
public record QueueEntry(long number, Rank rank, long deadlineNanos, boolean exclusive) {}
