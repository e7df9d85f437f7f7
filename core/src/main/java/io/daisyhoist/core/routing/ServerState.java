package io.daisyhoist.core.routing;

import java.time.Duration;

/**
 * What this daemon knows about one backend server: its own requests, the last report and recent failures. Confined to one
 * thread.
 */
final class ServerState {
    /** Age from which a report says nothing about the number of requests at a server. */
    private static final Duration LOAD_VALIDITY = Duration.ofSeconds(2);

    /** The share of rejected requests changes more slowly than the number of requests. */
    private static final Duration REJECTION_VALIDITY = Duration.ofSeconds(3);

    /** Slowdown by other processes of an instance lasts for a fraction of a second. */
    private static final Duration SLOWDOWN_HALF_LIFE = Duration.ofMillis(300);

    /** Half-life of a failure rate without requests, after which an avoided server is tried again. */
    private static final Duration FAILURE_HALF_LIFE = Duration.ofSeconds(5);

    /** A daemon with requests in flight that has sent nothing for this long may be unreachable. */
    private static final Duration CONTACT_TIMEOUT = Duration.ofMillis(600);

    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(400);
    private static final int MAX_BACKOFF_DOUBLINGS = 4;
    private static final double LATENCY_GAIN = 0.1;
    private static final double FAILURE_GAIN = 0.2;
    private static final double MIN_LATENCY_RATIO = 0.3;
    private static final double MAX_LATENCY_RATIO = 8;

    /** Smallest share of its usual requests that a server gets while it is not ejected, so that its recovery is seen. */
    private static final double MIN_HEALTH = 0.02;

    /** Age, in run times, at which a report has half its weight; requests that wait keep a server busy for longer than one. */
    private static final double HALF_LIFE_RUNS = 6;

    private static final double MIN_REPORT_HALF_LIFE_S = 0.05;

    private static final double MAX_REPORT_HALF_LIFE_S = 1;
    private static final double DEFAULT_REPORT_HALF_LIFE_S = 0.3;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Ejection ejection = new Ejection();
    private int inFlight;
    private int othersBusy;
    private int reportedLimit;
    private double reportedSlowdown = 1;
    private double reportedRunSeconds;
    private double reportedRejectedShare;
    private long reportNanos;
    private boolean hasReport;
    private double failureRate;
    private double rejectionRate;
    private long failureNanos;
    private double latencyRatio = 1;
    private long backoffUntilNanos;
    private boolean inBackoff;
    private long lastContactNanos;
    private int connectFailures;

    Ejection ejection() {
        return ejection;
    }

    /** Returns the concurrency limit. */
    int limit(long now, int slots) {
        return Math.max(1, isReportYounger(now, LOAD_VALIDITY) && reportedLimit > 0 ? reportedLimit : slots);
    }

    boolean hasLoad(long now) {
        return isReportYounger(now, LOAD_VALIDITY);
    }

    boolean isReportYounger(long now, Duration age) {
        return hasReport && now - reportNanos < age.toNanos();
    }

    /** Returns the number of requests of other daemons at the last report. */
    int othersBusy() {
        return othersBusy;
    }

    /**
     * Returns the expected number of requests at the server.
     *
     * @param usualOthersBusy requests of other daemons that are expected without a report
     */
    double expectedBusy(long now, double usualOthersBusy) {
        if (!hasLoad(now)) {
            return inFlight + usualOthersBusy;
        }
        double halfLifeS = reportedRunSeconds > 0
                ? Math.min(
                        MAX_REPORT_HALF_LIFE_S, Math.max(MIN_REPORT_HALF_LIFE_S, HALF_LIFE_RUNS * reportedRunSeconds))
                : DEFAULT_REPORT_HALF_LIFE_S;
        double weight = halfLifeS / (halfLifeS + (now - reportNanos) / NANOS_PER_SECOND);
        return inFlight + weight * othersBusy + (1 - weight) * usualOthersBusy;
    }

    /** Returns the mean run time that the server reported; zero if unknown. */
    double reportedRunSeconds() {
        return reportedRunSeconds;
    }

    /** Returns the expected run time, given the mean of the service. */
    double runSeconds(long now, double serviceMeanSeconds) {
        double usual = reportedRunSeconds > 0 ? reportedRunSeconds : serviceMeanSeconds * latencyRatio;
        if (!hasReport) {
            return usual;
        }
        double age = (double) (now - reportNanos) / SLOWDOWN_HALF_LIFE.toNanos();
        return usual * (1 + (reportedSlowdown - 1) / (1 + age));
    }

    /** Returns the share of requests that the server is expected not to serve although it has room. */
    double expectedLoss(long now) {
        return 1 - (1 - rejectedShare(now)) * (1 - faded(failureRate, now));
    }

    /** Returns the share of requests that the server is expected to reject. */
    double rejectedShare(long now) {
        return knowsRejectedShare(now) ? reportedRejectedShare : faded(rejectionRate, now);
    }

    /** Returns whether the share of rejected requests is known from a recent report. */
    boolean knowsRejectedShare(long now) {
        return isReportYounger(now, REJECTION_VALIDITY);
    }

    private double faded(double rate, long now) {
        return rate == 0 ? 0 : rate / (1 + (double) (now - failureNanos) / FAILURE_HALF_LIFE.toNanos());
    }

    /** Returns the share of its usual requests that the server should get. */
    double health(long now) {
        double success = 1 - expectedLoss(now);
        return Math.max(MIN_HEALTH, ejection.share() * success * success);
    }

    /** Returns whether the server is selected only if there is no other. */
    boolean isLastResort(long now) {
        boolean unresponsive = inFlight > 0 && now - lastContactNanos > CONTACT_TIMEOUT.toNanos();
        return unresponsive || inBackoff && backoffUntilNanos - now > 0;
    }

    void onSend(long now) {
        if (inFlight == 0) {
            lastContactNanos = now;
        }
        inFlight++;
    }

    void onCompletion() {
        inFlight = Math.max(0, inFlight - 1);
    }

    void onReport(long now, LoadBalancer.Report report) {
        hasReport = true;
        reportNanos = now;
        lastContactNanos = now;
        othersBusy = Math.max(0, report.busy() - inFlight);
        reportedLimit = report.limit();
        reportedSlowdown = Math.max(0.1, report.slowdown());
        reportedRejectedShare = Math.min(1, Math.max(0, report.rejectedShare()));
        if (report.completedPerSlotSecond() > 0) {
            reportedRunSeconds = 1 / report.completedPerSlotSecond();
        }
    }

    /** Records a response that took the given multiple of the mean of its route. */
    void onResponse(double ratio) {
        failureRate -= FAILURE_GAIN * failureRate;
        rejectionRate -= FAILURE_GAIN * rejectionRate;
        inBackoff = false;
        ejection.onSuccess();
        double bounded = Math.min(MAX_LATENCY_RATIO, Math.max(MIN_LATENCY_RATIO, ratio));
        latencyRatio += LATENCY_GAIN * (bounded - latencyRatio);
    }

    void onFailure(long now) {
        failureRate = faded(failureRate, now);
        failureRate += FAILURE_GAIN * (1 - failureRate);
        rejectionRate = faded(rejectionRate, now);
        failureNanos = now;
        ejection.onFailure();
    }

    void onRejection(long now) {
        rejectionRate = faded(rejectionRate, now);
        rejectionRate += FAILURE_GAIN * (1 - rejectionRate);
        failureRate = faded(failureRate, now);
        failureNanos = now;
    }

    void avoid(long now, Duration duration) {
        inBackoff = true;
        backoffUntilNanos = now + duration.toNanos();
    }

    void onUnreachable(long now) {
        connectFailures = Math.min(connectFailures + 1, MAX_BACKOFF_DOUBLINGS);
        avoid(now, INITIAL_BACKOFF.multipliedBy(1L << (connectFailures - 1)));
    }

    void onReachable() {
        connectFailures = 0;
    }
}
