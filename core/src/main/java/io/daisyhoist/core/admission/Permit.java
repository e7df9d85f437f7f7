package io.daisyhoist.core.admission;

/**
 * Permit for one request in flight at the backend server, returned with {@link AdmissionController#complete}.
 * Immutable.
 *
 * @param number number of the request, unique within its controller
 * @param startNanos monotonic time of admission
 * @param exclusive whether no other request may be in flight at the same time
 */
public record Permit(long number, long startNanos, boolean exclusive) {}
