package io.daisyhoist.core.routing;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Decides which share of the requests to one service is refused before they are sent, because the backend servers reject
 * them.
 *
 * <p>Fewer requests help only if the servers reject for lack of capacity. So the share is first reduced on trial. If the
 * servers then do not accept a larger part of what they get, they reject regardless of load, each refusal loses requests
 * that would have been served, and everything is sent again. All daemons get about the same reports and so try at about
 * the same time. Confined to one thread.
 */
final class EarlyRefusal {
    /** Rejected share from which requests are refused; the surplus is then larger than what is sent in any case. */
    private static final double HIGH_SHARE = 0.7;

    /** Requests that are sent for each one that is accepted; fewer would leave servers without a queue idle at times. */
    private static final double SENT_PER_ACCEPTED = 3;

    private static final double TRIAL_ADMITTED_SHARE = 0.6;

    /** Smallest share that is sent, so that a recovery is noticed. */
    private static final double MIN_ADMITTED_SHARE = 0.1;

    /** Limits the increase within one review. */
    private static final double MAX_STEP = 1.5;

    /** Increase at each review without recent reports, until enough is sent to get some. */
    private static final double STEP_WITHOUT_REPORTS = 1.25;

    /** Minimum ratio of the accepted shares now and before the trial; with a mere lack of capacity it is 1 / 0.6. */
    private static final double MIN_IMPROVEMENT = 1.2;

    private static final double ACCEPTED_GAIN = 0.4;
    private static final Duration REVIEW_INTERVAL = Duration.ofMillis(500);

    /** Reviews that cover the time in which the reported share of rejections follows a change. */
    private static final int TRIAL_REVIEWS = 6;

    private static final Duration INITIAL_PAUSE = Duration.ofSeconds(30);
    private static final int MAX_PAUSE_DOUBLINGS = 4;
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

    private boolean limiting;
    private double admittedShare = 1;
    private double acceptedShare = 1;
    private double acceptedBefore = 1;
    private int highReviews;
    private int reviewsWithoutImprovement;
    private int pauseDoublings;
    private long pausedUntilNanos;
    private long lastReviewNanos;

    EarlyRefusal(long nowNanos) {
        lastReviewNanos = nowNanos;
        pausedUntilNanos = nowNanos;
    }

    boolean isReviewDue(long nowNanos) {
        return nowNanos - lastReviewNanos >= REVIEW_INTERVAL.toNanos();
    }

    /**
     * Updates the admitted share.
     *
     * @param rejectedShare share of requests that the servers reject at present; NaN if unknown
     */
    void review(long nowNanos, double rejectedShare) {
        lastReviewNanos = nowNanos;
        if (Double.isNaN(rejectedShare)) {
            admittedShare = Math.min(1, admittedShare * STEP_WITHOUT_REPORTS);
            limiting = admittedShare < 1;
            return;
        }
        acceptedShare += ACCEPTED_GAIN * (1 - rejectedShare - acceptedShare);
        if (limiting) {
            reviewLimit(nowNanos);
        } else {
            reviewOpen(nowNanos, rejectedShare);
        }
    }

    private void reviewOpen(long nowNanos, double rejectedShare) {
        highReviews = rejectedShare >= HIGH_SHARE ? highReviews + 1 : 0;
        if (highReviews >= 2 && pausedUntilNanos - nowNanos <= 0) {
            limiting = true;
            acceptedBefore = 1 - rejectedShare;
            acceptedShare = acceptedBefore;
            admittedShare = TRIAL_ADMITTED_SHARE;
            reviewsWithoutImprovement = 0;
        }
    }

    private void reviewLimit(long nowNanos) {
        if (acceptedShare < MIN_IMPROVEMENT * acceptedBefore) {
            reviewsWithoutImprovement++;
            if (reviewsWithoutImprovement >= TRIAL_REVIEWS) {
                open();
                pausedUntilNanos = nowNanos
                        + INITIAL_PAUSE.multipliedBy(1L << pauseDoublings).toNanos();
                pauseDoublings = Math.min(pauseDoublings + 1, MAX_PAUSE_DOUBLINGS);
            }
            return;
        }
        reviewsWithoutImprovement = 0;
        double step = Math.min(MAX_STEP, SENT_PER_ACCEPTED * acceptedShare);
        admittedShare = Math.max(MIN_ADMITTED_SHARE, admittedShare * step);
        if (admittedShare >= 1) {
            open();
            pauseDoublings = 0;
        }
    }

    private void open() {
        limiting = false;
        admittedShare = 1;
        highReviews = 0;
    }

    /** Returns the share of requests that is sent. */
    double admittedShare() {
        return admittedShare;
    }

    /** Decides about one request; returns the time after which a refused one may be sent again. */
    Optional<Duration> decide(RandomGenerator random) {
        if (admittedShare >= 1 || random.nextDouble() < admittedShare) {
            return Optional.empty();
        }
        double spread = random.nextDouble() * 2 / admittedShare;
        return Optional.of(MIN_RETRY_AFTER.plusNanos((long) (spread * MIN_RETRY_AFTER.toNanos())));
    }
}
