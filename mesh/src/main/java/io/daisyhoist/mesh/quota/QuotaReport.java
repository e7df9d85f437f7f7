package io.daisyhoist.mesh.quota;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.customer.CustomerName;
import io.daisyhoist.core.quota.QuotaDecision;
import io.daisyhoist.core.quota.QuotaLender;

/**
 * Counts the decisions of an interval by customer and reports the most frequent ones.
 *
 * <p>The number of log lines of an interval and the number of metric labels are bounded, whatever the number of customers.
 * Confined to the traffic event loop.
 */
public final class QuotaReport {
    /** Length of an interval in milliseconds. */
    public static final long INTERVAL_MILLIS = 10_000;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int MAX_LINES = 10;
    private static final int MAX_LABELS = 30;
    private static final String OTHER = "other";

    /** Share of what this daemon may lend of a quota from which on operators are told. */
    private static final double NOTABLE_SHARE = 0.8;

    private final Metrics metrics;
    private final Map<CustomerName, Counts> counts = new HashMap<>();
    private final Set<CustomerName> labelled = new HashSet<>();

    /** Receives counts. */
    public interface Metrics {
        /**
         * Counts requests by their decision.
         *
         * @param customer name of a customer, or "other"; of a bounded set
         * @param decision decision, of a fixed set
         */
        void onQuota(String customer, String decision, long requests);
    }

    private static final class Counts {
        private long admitted;
        private long refused;
        private long withoutLender;
        private long released;

        private long total() {
            return admitted + refused + withoutLender;
        }

        private long denied() {
            return refused + withoutLender;
        }
    }

    QuotaReport(Metrics metrics) {
        this.metrics = metrics;
    }

    void onDecision(CustomerName customer, QuotaDecision decision) {
        Counts known = counts.computeIfAbsent(customer, any -> new Counts());
        if (decision instanceof QuotaDecision.Admitted) {
            known.admitted++;
        } else if (((QuotaDecision.Refused) decision).reason() == QuotaDecision.Reason.OVER_QUOTA) {
            known.refused++;
        } else {
            known.withoutLender++;
        }
    }

    void onReleased(CustomerName customer) {
        counts.computeIfAbsent(customer, any -> new Counts()).released++;
    }

    /** Reports the interval and begins the next one. */
    void flush(QuotaLender lender) {
        List<Map.Entry<CustomerName, Counts>> ordered = counts.entrySet().stream()
                .sorted(Comparator.comparingLong((Map.Entry<CustomerName, Counts> entry) ->
                                entry.getValue().total())
                        .reversed())
                .toList();
        ordered.forEach(entry -> count(label(entry.getKey()), entry.getValue()));
        ordered.stream()
                .filter(entry -> entry.getValue().denied() > 0)
                .limit(MAX_LINES)
                .forEach(entry -> LOGGER.atInfo().log(
                        "event=quota_refused customer=%s admitted=%d over_quota=%d no_lender=%d released=%d",
                        entry.getKey(),
                        entry.getValue().admitted,
                        entry.getValue().refused,
                        entry.getValue().withoutLender,
                        entry.getValue().released));
        counts.clear();
        lender.usage().stream()
                .filter(usage -> usage.share() >= NOTABLE_SHARE)
                .sorted(Comparator.comparingDouble(QuotaLender.Usage::share).reversed())
                .limit(MAX_LINES)
                .forEach(usage -> LOGGER.atInfo().log(
                        "event=quota_lent customer=%s share=%.2f allowance=%.1f borrowers=%d largest=%s",
                        usage.customer(),
                        usage.share(),
                        usage.allowance(),
                        usage.borrowers(),
                        usage.largestBorrower().daemon()));
    }

    private String label(CustomerName customer) {
        if (labelled.contains(customer)) {
            return customer.name();
        }
        if (labelled.size() < MAX_LABELS) {
            labelled.add(customer);
            return customer.name();
        }
        return OTHER;
    }

    private void count(String label, Counts known) {
        metrics.onQuota(label, "admitted", known.admitted);
        metrics.onQuota(label, "over_quota", known.refused);
        metrics.onQuota(label, "no_lender", known.withoutLender);
        metrics.onQuota(label, "released", known.released);
    }
}
