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
        return multiply(retryAfter, MAX_FACTOR);
    }

    /** Returns a time that is shorter by up to a quarter. */
    public Duration shorten(Duration retryAfter) {
        return multiply(retryAfter, 1);
    }

    private Duration multiply(Duration retryAfter, double maxFactor) {
        double factor = MIN_FACTOR + (maxFactor - MIN_FACTOR) * random.nextDouble();
        return Duration.ofNanos((long) (retryAfter.toNanos() * factor));
    }
}
