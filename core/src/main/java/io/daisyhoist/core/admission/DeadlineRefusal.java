package io.daisyhoist.core.admission;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Refuses requests that no backend server can serve before their deadline, at the daemon that received them.
 *
 * <p>Reports of backend servers count waiting requests of all priorities. Only requests of the lowest priority are therefore
 * refused, because others go before some of those. Of each kind, every few requests are sent nevertheless: they renew the
 * reports, and the kind keeps its share at the backend servers. Confined to one thread.
 */
public final class DeadlineRefusal {
    private static final int REFUSALS_PER_PROBE = 3;

    /** Time after which a priority that no request has any more does not count as the lowest one. */
    private static final long PRIORITY_WINDOW_NANOS = Duration.ofSeconds(10).toNanos();

    private final int[] refusalsSinceProbe = new int[KindShares.MAX_KINDS];
    private int lowestPriority;
    private int previousLowestPriority;
    private long windowStartNanos;

    /**
     * Returns the expected time until there is room if the request is to be refused.
     *
     * @param utilization requests at the least busy backend server, including this one, in relation to its slots; empty if
     *     recent load reports are not known of all
     * @param meanWorkNanos mean run time of requests at these backend servers
     */
    public Optional<Duration> timeUntilRoom(
            RequestCost cost, OptionalDouble utilization, long meanWorkNanos, long nowNanos) {
        recordPriority(cost.priority(), nowNanos);
        int lowest = Math.max(lowestPriority, previousLowestPriority);
        if (utilization.isEmpty() || cost.nested() || cost.priority() < lowest) {
            return Optional.empty();
        }
        long waitNanos = (long) ((utilization.getAsDouble() - 1) * meanWorkNanos);
        if (waitNanos <= 0 || waitNanos <= cost.deadlineSlackNanos(nowNanos)) {
            return Optional.empty();
        }
        if (refusalsSinceProbe[cost.kind()] >= REFUSALS_PER_PROBE) {
            refusalsSinceProbe[cost.kind()] = 0;
            return Optional.empty();
        }
        refusalsSinceProbe[cost.kind()]++;
        return Optional.of(Duration.ofNanos(waitNanos));
    }

    private void recordPriority(int priority, long nowNanos) {
        if (nowNanos - windowStartNanos > PRIORITY_WINDOW_NANOS) {
            previousLowestPriority = lowestPriority;
            lowestPriority = priority;
            windowStartNanos = nowNanos;
        }
        lowestPriority = Math.max(lowestPriority, priority);
    }
}
