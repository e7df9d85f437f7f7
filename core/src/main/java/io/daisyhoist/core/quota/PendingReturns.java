package io.daisyhoist.core.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.daisyhoist.core.customer.CustomerName;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.time.TimeSource;

/**
 * Parts of lapsed loans that were not used and have not been returned to their lenders yet.
 *
 * <p>They travel with the next demand to the same lender, or on their own after a while. A part that no longer counts at its
 * lender is forgotten. Confined to one thread.
 */
final class PendingReturns {
    /** Time for which a part waits for a demand to the same lender. */
    private static final long MAX_DELAY_NANOS = Duration.ofMillis(200).toNanos();

    private static final int MAX_PARTS_PER_LENDER = 1_000;

    private final TimeSource time;
    private final Duration window;
    private final Map<DaemonId, List<Part>> parts = new HashMap<>();

    private record Part(CustomerName customer, QuotaDemand.Return returned, long sinceNanos) {}

    PendingReturns(TimeSource time, Duration window) {
        this.time = time;
        this.window = window;
    }

    void add(CustomerName customer, BorrowedLoan loan, int requests) {
        if (requests <= 0 || loan.age(time).compareTo(window) > 0) {
            return;
        }
        List<Part> ofLender = parts.computeIfAbsent(loan.lender(), any -> new ArrayList<>());
        if (ofLender.size() < MAX_PARTS_PER_LENDER) {
            ofLender.add(new Part(customer, new QuotaDemand.Return(loan.number(), requests), time.monotonicNanos()));
        }
    }

    /** Returns the lenders to which a part has waited for too long. */
    Set<DaemonId> overdueLenders() {
        long now = time.monotonicNanos();
        parts.values().removeIf(ofLender -> {
            ofLender.removeIf(part -> now - part.sinceNanos() > window.toNanos());
            return ofLender.isEmpty();
        });
        Set<DaemonId> overdue = new HashSet<>();
        parts.forEach((lender, ofLender) -> {
            if (now - ofLender.get(0).sinceNanos() >= MAX_DELAY_NANOS) {
                overdue.add(lender);
            }
        });
        return overdue;
    }

    /** Removes and returns the parts for a lender by customer. */
    Map<CustomerName, List<QuotaDemand.Return>> take(DaemonId lender) {
        Map<CustomerName, List<QuotaDemand.Return>> byCustomer = new HashMap<>();
        List<Part> ofLender = parts.remove(lender);
        if (ofLender != null) {
            ofLender.forEach(part -> byCustomer
                    .computeIfAbsent(part.customer(), any -> new ArrayList<>())
                    .add(part.returned()));
        }
        return byCustomer;
    }
}
