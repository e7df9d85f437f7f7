package io.daisyhoist.core.admission;

import java.time.Duration;

/**
 * Load reported by a backend server; a hint that may be outdated or wrong. Immutable.
 *
 * @param inFlight reported number of requests in flight
 * @param capacity reported number of requests that it can run concurrently
 * @param age age of the report
 */
public record LoadReport(int inFlight, int capacity, Duration age) {}
