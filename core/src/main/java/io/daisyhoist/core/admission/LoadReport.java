package io.daisyhoist.core.admission;

import java.time.Duration;

/**
 * What a backend server last said about its load; a hint that may be late or wrong. Immutable.
 *
 * @param inFlight requests that it says it runs
 * @param capacity requests that it says it can run at once
 * @param age time since the report was made
 */
public record LoadReport(int inFlight, int capacity, Duration age) {}
