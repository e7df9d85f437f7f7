package io.daisyhoist.mesh.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import io.daisyhoist.core.customer.Customer;
import io.daisyhoist.core.customer.CustomerName;
import io.daisyhoist.core.quota.QuotaDecision;
import io.daisyhoist.core.quota.QuotaDecision.Admitted;
import io.daisyhoist.core.quota.QuotaDecision.Refused;
import io.daisyhoist.core.quota.QuotaShards;
import io.vertx.core.Future;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FleetQuotaTest {
    private static final CustomerName SMALL = new CustomerName("small");

    /** Time after which lenders lend without restriction. */
    private static final long SETTLED_MILLIS = 8_000;

    private final QuotaFleet fleet = new QuotaFleet(10, List.of(QuotaFleet.customer("small", 1, 2)));

    private QuotaDecision acquire(int daemon) {
        Future<QuotaDecision> decision = fleet.daemons.get(daemon).acquire(SMALL);
        assertTrue(decision.isComplete());
        return decision.result();
    }

    /** A customer with less than one request for each daemon must still get its rate at any of them. */
    @Test
    void acquire_anyDaemon_smallCustomerServed() {
        fleet.advance(SETTLED_MILLIS);
        for (int i = 0; i < 30; i++) {
            assertInstanceOf(Admitted.class, acquire(i % 10), "request " + i);
            fleet.advance(1_000);
        }
    }

    @Test
    void acquire_farOverQuota_refusedWithRetryAfter() {
        fleet.advance(SETTLED_MILLIS);
        int admitted = 0;
        QuotaDecision last = null;
        for (int i = 0; i < 200; i++) {
            last = acquire(i % 10);
            admitted += last instanceof Admitted ? 1 : 0;
        }
        assertTrue(admitted <= (5 + 2) * 1.1 + 20, "admitted " + admitted);
        Refused refused = assertInstanceOf(Refused.class, last);
        assertEquals(QuotaDecision.Reason.OVER_QUOTA, refused.reason());
        assertTrue(refused.retryAfter().toMillis() >= 200);
    }

    /** A dead holder must not stop the requests of its customers until its shards have another holder. */
    @Test
    void acquire_oneLenderUnreachable_nextOneLends() {
        fleet.advance(SETTLED_MILLIS);
        QuotaShards shards = new QuotaShards(fleet.snapshot.members().keySet());
        fleet.unreachable.add(shards.holder(QuotaShards.shardOf(SMALL, 0)).orElseThrow());
        for (int i = 0; i < 10; i++) {
            assertInstanceOf(Admitted.class, acquire(i), "daemon " + i);
            fleet.advance(1_000);
        }
    }

    @Test
    void acquire_noLenderReachable_refusedForThatReason() {
        fleet.advance(SETTLED_MILLIS);
        fleet.unreachable.addAll(fleet.snapshot.members().keySet());
        long withoutLender = IntStream.range(0, 10)
                .mapToObj(this::acquire)
                .filter(decision ->
                        decision instanceof Refused refused && refused.reason() == QuotaDecision.Reason.NO_LENDER)
                .count();
        assertTrue(withoutLender >= 8, "all but the lenders themselves, but " + withoutLender);
    }

    @Test
    void report_manyCustomers_labelsBounded() {
        List<Customer> customers = IntStream.range(0, 1_000)
                .mapToObj(index -> QuotaFleet.customer("c" + index, 1, 2))
                .toList();
        QuotaFleet large = new QuotaFleet(3, customers);
        large.advance(SETTLED_MILLIS);
        customers.forEach(customer -> large.daemons.get(0).acquire(customer.name()));
        large.daemons.get(0).report();
        assertEquals(
                31,
                large.counts.keySet().stream()
                        .filter(key -> key.endsWith("admitted"))
                        .count());
    }

    private static void measure(int size, int customerCount) {
        List<Customer> customers = new ArrayList<>();
        for (int i = 0; i < customerCount; i++) {
            customers.add(QuotaFleet.customer("customer-" + i, i % 17 == 0 ? 100 : 5, 10));
        }
        QuotaFleet fleet = new QuotaFleet(size, customers);
        fleet.advance(SETTLED_MILLIS);
        fleet.messages = 0;
        fleet.bytes = 0;
        SplittableRandom random = new SplittableRandom(1);
        int steps = 100;
        double perDaemonAndSecond = 20;
        int perStep = (int) (size * perDaemonAndSecond * FleetQuota.TICK_MILLIS / 1_000);
        for (int step = 0; step < steps; step++) {
            for (int i = 0; i < perStep; i++) {
                int customer = (int) (customerCount * Math.pow(random.nextDouble(), 2));
                fleet.daemons
                        .get(random.nextInt(size))
                        .acquire(customers.get(customer).name());
            }
            fleet.advance(FleetQuota.TICK_MILLIS);
        }
        double seconds = steps * FleetQuota.TICK_MILLIS / 1_000.0;
        System.out.printf(
                "%d daemons, %d customers, %.0f requests/s at each: %.1f messages/s and %.0f bytes/s sent by each%n",
                size, customerCount, perDaemonAndSecond, fleet.messages / seconds / size, fleet.bytes / seconds / size);
        assertTrue(fleet.bytes / seconds / size < 20_000, "bytes " + fleet.bytes);
    }

    /** Messages of a daemon must not grow with the size of the fleet, nor with the number of customers. */
    @Test
    void traffic_largeFleet_bounded() {
        measure(86, 85);
        measure(300, 85);
        measure(86, 10_000);
        measure(300, 10_000);
    }
}
