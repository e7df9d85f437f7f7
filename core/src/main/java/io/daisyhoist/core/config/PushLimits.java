package io.daisyhoist.core.config;

import java.time.Duration;

/**
 * Retry limits of a push. Immutable.
 *
 * @param maxUnansweredCalls largest number of calls without a response that the push tolerates
 * @param maxWriteConflicts largest number of write conflicts with other pushes that the push tolerates
 * @param minBackoff upper bound of the wait after the first unanswered call; doubles with each further one
 * @param maxBackoff largest upper bound of that wait
 */
public record PushLimits(int maxUnansweredCalls, int maxWriteConflicts, Duration minBackoff, Duration maxBackoff) {
    /** Twenty waits of up to 2 s cover a restart of the platform; 100 conflicts exceed the pushes of any hour. */
    public static final PushLimits DEFAULT = new PushLimits(20, 100, Duration.ofMillis(50), Duration.ofSeconds(2));
}
