package io.daisyhoist.core.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

import io.daisyhoist.core.customer.CustomerName;
import io.daisyhoist.core.customer.CustomerQuota;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks the rule of the quota in every window of seeded histories of a fleet, over all daemons together. */
class QuotaHistoriesTest {
    /** A run with {@code -Dquota.histories=5000} takes a few minutes. */
    private static final int HISTORIES = Integer.getInteger("quota.histories", 400);

    private static final Duration DURATION = Duration.ofSeconds(30);
    private static final double[] RATES = {0.5, 1, 2, 5, 20, 100};
    private static final double[] LOADS = {0.3, 0.9, 1.5, 5};

    private record Customer(CustomerName name, CustomerQuota quota, double load, double skew, double notRunShare) {}

    private static Customer customer(int index, SplittableRandom random) {
        double rate = RATES[random.nextInt(RATES.length)];
        double burst = rate * random.nextInt(4);
        return new Customer(
                new CustomerName("customer-" + index),
                new CustomerQuota(rate, burst),
                LOADS[random.nextInt(LOADS.length)],
                random.nextInt(4),
                random.nextInt(3) == 0 ? 0.3 : 0);
    }

    /** Schedules the requests of a customer, which arrive at random times at daemons of unequal popularity. */
    private static void load(
            QuotaSimulation fleet, Customer customer, Duration from, Duration until, QuotaSimulation.Tally tally) {
        double perSecond = customer.quota().requestsPerSecond() * customer.load() / (1 - customer.notRunShare());
        int size = fleet.daemons.size();
        for (double at = from.toMillis();
                at < until.toMillis();
                at += -Math.log(1 - fleet.random.nextDouble()) * 1_000 / perSecond) {
            int daemon = (int) (size * Math.pow(fleet.random.nextDouble(), 1 + customer.skew()));
            fleet.at(
                    (long) (at * 1e6),
                    () -> fleet.request(customer.name(), fleet.daemons.get(daemon), customer.notRunShare(), tally));
        }
    }

    private static void addFaults(QuotaSimulation fleet, Duration until) {
        SplittableRandom random = fleet.random;
        fleet.lossShare = random.nextInt(3) == 0 ? 0.05 : 0;
        int faults = 1 + random.nextInt(8);
        for (int i = 0; i < faults; i++) {
            QuotaSimulation.Daemon daemon = fleet.daemons.get(random.nextInt(fleet.daemons.size()));
            Duration length = Duration.ofMillis(200 + random.nextInt(15_000));
            Duration at = Duration.ofMillis(random.nextLong(until.toMillis()));
            int kind = random.nextInt(6);
            boolean many = random.nextInt(4) == 0;
            int share = 1 + random.nextInt(3);
            for (QuotaSimulation.Daemon affected : fleet.daemons) {
                if (affected == daemon || many && fleet.daemons.indexOf(affected) % share == 0) {
                    fleet.at(at.toNanos(), () -> begin(fleet, affected, kind, length));
                }
            }
        }
    }

    private static void begin(QuotaSimulation fleet, QuotaSimulation.Daemon daemon, int kind, Duration length) {
        switch (kind) {
            case 0 -> {
                daemon.kill();
                fleet.after(length, daemon::start);
            }
            case 1 -> daemon.suspend(length);
            case 2 -> {
                daemon.cutFromPeers = true;
                fleet.after(length, () -> daemon.cutFromPeers = false);
            }
            case 3 -> {
                daemon.cutFromStore = true;
                fleet.after(length, () -> daemon.cutFromStore = false);
            }
            case 4 -> {
                daemon.cutFromStore = true;
                daemon.cutFromPeers = true;
                fleet.after(length, () -> {
                    daemon.cutFromStore = false;
                    daemon.cutFromPeers = false;
                });
            }
            default -> daemon.jumpWallClock(Duration.ofMillis(fleet.random.nextInt(6_000) - 3_000));
        }
    }

    private static String kind(boolean faults, boolean changes, Customer customer) {
        return (faults ? "faults" : "steady") + (changes ? " changed" : "") + " load=" + customer.load() + " notRun="
                + customer.notRunShare() + " small=" + (customer.quota().requestsPerSecond() <= 5);
    }

    /** Guards against windows over the quota after kills, cuts, suspensions, restarts and changes of the quota. */
    @Test
    void histories_anyFaults_noWindowOverQuota() {
        List<String> violations = new ArrayList<>();
        double largestShare = 0;
        Map<String, double[]> served = new TreeMap<>();
        for (long seed = 1; seed <= HISTORIES; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            boolean faults = random.nextInt(4) > 0;
            boolean changes = false;
            int size = 3 + random.nextInt(28);
            int lateDaemons = random.nextInt(4) == 0 ? random.nextInt(size) : 0;
            QuotaSimulation fleet = new QuotaSimulation(seed, size, lateDaemons);
            Duration start = Duration.ofMillis(500 + random.nextInt(10_000));
            List<Customer> customers = List.of(customer(0, random), customer(1, random));
            List<QuotaSimulation.Tally> tallies = new ArrayList<>();
            for (Customer customer : customers) {
                fleet.setQuota(customer.name(), customer.quota());
                QuotaSimulation.Tally tally = new QuotaSimulation.Tally();
                load(fleet, customer, start, start.plus(DURATION), tally);
                tallies.add(tally);
            }
            if (faults) {
                addFaults(fleet, start.plus(DURATION));
            }
            if (random.nextInt(3) == 0) {
                changes = true;
                Customer changed = customers.get(0);
                double factor = random.nextBoolean() ? 0.2 : 3;
                fleet.at(
                        start.plusSeconds(10).toNanos(),
                        () -> fleet.setQuota(
                                changed.name(),
                                new CustomerQuota(
                                        changed.quota().requestsPerSecond() * factor,
                                        changed.quota().burst() * factor)));
            }
            fleet.run(start.plus(DURATION).plusSeconds(1));
            for (int i = 0; i < customers.size(); i++) {
                Customer customer = customers.get(i);
                Optional<String> violation = fleet.violation(customer.name());
                String description = "seed " + seed + " " + customer + ": ";
                largestShare = Math.max(largestShare, fleet.largestShare());
                violation.ifPresent(text -> violations.add(description + text));
                double[] sums = served.computeIfAbsent(
                        kind(faults || lateDaemons > 0, changes, customer), any -> new double[2]);
                QuotaSimulation.Tally tally = tallies.get(i);
                sums[0] += tally.ran;
                sums[1] += Math.min(
                        tally.sent * (1 - customer.notRunShare()),
                        customer.quota().requestsPerSecond() * DURATION.toSeconds()
                                + customer.quota().burst());
            }
        }
        System.out.printf("largest share of the allowance in a window: %.3f%n", largestShare);
        served.forEach((kind, sums) ->
                System.out.printf("%s: served %.0f of %.0f = %.3f%n", kind, sums[0], sums[1], sums[0] / sums[1]));
        assertEquals(List.of(), violations);
        assertTrue(served.size() > 1);
    }
}
