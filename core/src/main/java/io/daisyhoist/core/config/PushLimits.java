package io.daisyhoist.core.config;

import java.time.Duration;

/**
 * How long a push keeps trying. Immutable.
 *
 * @param maxUnansweredCalls calls without an answer after which the push ends
 * @param maxLostRaces writes lost to other pushes after which the push ends
 * @param minBackoff longest wait after the first unanswered call; doubles with each further one
 * @param maxBackoff upper bound of that wait
 */
public record PushLimits(int maxUnansweredCalls, int maxLostRaces, Duration minBackoff, Duration maxBackoff) {
    /** Twenty waits of up to 2 s bridge a restart of the platform; 100 lost races are more than any hour sees. */
    public static final PushLimits DEFAULT = new PushLimits(20, 100, Duration.ofMillis(50), Duration.ofSeconds(2));
}
