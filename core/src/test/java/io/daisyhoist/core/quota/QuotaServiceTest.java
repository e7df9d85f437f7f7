package io.daisyhoist.core.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.daisyhoist.core.customer.CustomerName;
import io.daisyhoist.core.customer.CustomerQuota;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Service of 85 customers on 86 daemons: most of them small, a few large.
 *
 * <p>Guards against refusals below the quota, which a fixed share for each daemon would cause, and against a customer far over
 * its quota that takes from others.
 */
class QuotaServiceTest {
    private static final int DAEMONS = 86;
    private static final int CUSTOMERS = 85;
    private static final int LARGE_CUSTOMERS = 5;
    private static final Duration START = Duration.ofSeconds(9);
    private static final Duration DURATION = Duration.ofSeconds(20);

    private record Result(double allowed, double sent, double ran, double ranOfOthers) {}

    private static CustomerQuota quota(int index) {
        return index < LARGE_CUSTOMERS ? new CustomerQuota(150, 100) : new CustomerQuota(1 + index % 10, 5);
    }

    private static CustomerName name(int index) {
        return new CustomerName("customer-" + index);
    }

    /** Plays steady demand of all customers at a multiple of their rates, and of the hot one at another multiple. */
    private static void play(String title, Duration start, double load, double hotLoad, double skew, double minimum) {
        QuotaSimulation fleet = new QuotaSimulation(1, DAEMONS, 0);
        List<QuotaSimulation.Tally> tallies = new ArrayList<>();
        for (int i = 0; i < CUSTOMERS; i++) {
            fleet.setQuota(name(i), quota(i));
            QuotaSimulation.Tally tally = new QuotaSimulation.Tally();
            tallies.add(tally);
            double perSecond = quota(i).requestsPerSecond() * (i == 0 ? hotLoad : load);
            CustomerName customer = name(i);
            for (double at = start.toNanos();
                    at < start.plus(DURATION).toNanos();
                    at += -Math.log(1 - fleet.random.nextDouble()) * 1e9 / perSecond) {
                int daemon = (int) (DAEMONS * Math.pow(fleet.random.nextDouble(), skew));
                fleet.at((long) at, () -> fleet.request(customer, fleet.daemons.get(daemon), 0, tally));
            }
        }
        fleet.run(start.plus(DURATION).plusSeconds(1));
        double allowed = 0;
        double ran = 0;
        for (int i = 0; i < CUSTOMERS; i++) {
            assertEquals(Optional.empty(), fleet.violation(name(i)));
            QuotaSimulation.Tally tally = tallies.get(i);
            if (i > 0) {
                allowed += Math.min(tally.sent, quota(i).requestsPerSecond() * DURATION.toSeconds());
                ran += tally.ran;
            }
        }
        QuotaSimulation.Tally hot = tallies.get(0);
        double hotAllowed = Math.min(hot.sent, quota(0).requestsPerSecond() * DURATION.toSeconds());
        System.out.printf(
                "%s: others %.0f of %.0f = %.4f, hot %d of %.0f = %.3f (sent %d), messages per daemon and second %.1f%n",
                title,
                ran,
                allowed,
                ran / allowed,
                hot.ran,
                hotAllowed,
                hot.ran / hotAllowed,
                hot.sent,
                fleet.messages / (double) DAEMONS / DURATION.toSeconds());
        assertTrue(ran >= minimum * allowed, title + " ran " + ran + " of " + allowed);
        assertTrue(hot.ran >= 0.9 * hotAllowed, title);
    }

    @Test
    void steady_belowQuota_allServed() {
        play("even at 0.3", START, 0.3, 0.3, 1, 0.99);
        play("even at 0.9", START, 0.9, 0.9, 1, 0.99);
        play("skewed at 0.9", START, 0.9, 0.9, 4, 0.99);
        play("start at 0.5", Duration.ofMillis(500), 0.5, 0.5, 1, 0.99);
    }

    @Test
    void steady_aboveQuota_quotaServed() {
        play("even at 1.2", START, 1.2, 1.2, 1, 0.9);
        play("skewed at 5", START, 5, 5, 4, 0.9);
    }

    @Test
    void oneCustomer_manyTimesItsQuota_othersServed() {
        play("hot", START, 0.5, 10, 1, 0.99);
    }
}
