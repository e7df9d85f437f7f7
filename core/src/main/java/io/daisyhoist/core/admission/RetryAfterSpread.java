package io.daisyhoist.core.admission;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Spreads the return of clients that were refused at the same moment. Confined to one thread. */
public final class RetryAfterSpread {
    private static final double MIN_FACTOR = 0.75;
    private static final double MAX_FACTOR = 1.25;

    private final RandomGenerator random;

    public RetryAfterSpread(RandomGenerator random) {
        this.random = random;
    }

    /** Returns a time that differs by up to a quarter. */
    public Duration spread(Duration retryAfter) {
        double factor = MIN_FACTOR + (MAX_FACTOR - MIN_FACTOR) * random.nextDouble();
        return Duration.ofNanos((long) (retryAfter.toNanos() * factor));
    }
}
