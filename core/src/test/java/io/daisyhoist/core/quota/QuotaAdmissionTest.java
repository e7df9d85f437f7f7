package io.daisyhoist.core.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import io.daisyhoist.core.customer.CustomerBounds;
import io.daisyhoist.core.customer.CustomerName;
import io.daisyhoist.core.customer.CustomerQuota;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class QuotaAdmissionTest {
    private static final CustomerName CUSTOMER = new CustomerName("c");
    private static final Duration WINDOW = Duration.ofSeconds(5);
    private static final int LENT = 10;

    private final ManualTimeSource time = new ManualTimeSource();
    private final QuotaShards shards = new QuotaShards(List.of(new DaemonId("lender")));
    private final List<QuotaDecision> decisions = new ArrayList<>();
    private QuotaPlan plan = plan(100);
    private final QuotaAdmission gate = new QuotaAdmission(
            new DaemonId("borrower"),
            time,
            WINDOW,
            new SplittableRandom(1),
            () -> shards,
            customer -> Optional.of(plan));

    private static QuotaPlan plan(double perSecond) {
        return QuotaPlan.of(new CustomerQuota(perSecond, 0), CustomerBounds.DEFAULT);
    }

    private void acquire() {
        gate.acquire(CUSTOMER, decisions::add);
    }

    private void borrow() {
        acquire();
        QuotaAsk ask = gate.nextAsks().get(0);
        gate.onReply(ask.number(), List.of(new QuotaPart(CUSTOMER, LENT, Duration.ofSeconds(2), Duration.ZERO)));
        assertEquals(1, decisions.size());
    }

    @Test
    void acquire_validLoan_decidedAtOnce() {
        borrow();
        acquire();
        assertEquals(2, decisions.size());
    }

    /** Guards against a daemon that uses a loan after a suspension, when its lender has lent the same quota again. */
    @Test
    void acquire_afterSuspension_loanIsNotUsed() {
        borrow();
        time.suspend(Duration.ofSeconds(3));
        acquire();
        assertEquals(1, decisions.size());
    }

    /** Guards against a loan of the larger quota that is used after a configuration has lowered it. */
    @Test
    void acquire_quotaLowered_loanIsNotUsed() {
        borrow();
        plan = plan(1);
        acquire();
        assertEquals(1, decisions.size());
    }

    /** Guards against a lender that lends the whole new allowance beside what it has lent of the old one. */
    @Test
    void lend_quotaLowered_earlierLoansCountInProportion() {
        LoanLedger ledger = new LoanLedger(WINDOW, plan, time.monotonicNanos());
        int half = (int) (plan.shardAllowance() / 2);
        ledger.lend(new ProcessId(new DaemonId("borrower"), 1), 1, half, Duration.ofSeconds(1), time.monotonicNanos());
        QuotaPlan lowered = plan(50);
        ledger.onPlan(lowered);
        double share = ledger.lent(time.monotonicNanos()) / lowered.shardAllowance();
        assertEquals(half / plan.shardAllowance(), share, 0.01);
        assertTrue(share > 0.4);
    }
}
