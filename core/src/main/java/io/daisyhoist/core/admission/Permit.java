package io.daisyhoist.core.admission;

/**
 * Right to have one request in flight on the backend server, returned with {@link AdmissionGate#complete}. Immutable.
 *
 * @param number unique at its gate
 * @param startNanos monotonic time of admission
 * @param alone whether nothing else may be in flight meanwhile
 */
public record Permit(long number, long startNanos, boolean alone) {}
