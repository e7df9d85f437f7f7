package io.daisyhoist.core.routing;

import java.time.Duration;

import io.daisyhoist.core.routing.UnevenFleet.Server;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Backend servers of one service that differ in speed, slots and health, with 60 senders. */
class UnevenServersTest {
    private static final int SENDERS = 60;
    private static final double[] SPEEDS = {0.5, 1, 1, 1.5};
    private static final int[] SLOTS = {6, 13, 8, 10};
    private static final Duration WARM_UP = Duration.ofSeconds(10);
    private static final Duration MEASURED = Duration.ofSeconds(30);

    private static UnevenFleet fleet(int servers, int zones) {
        return fleet(7, servers, zones);
    }

    private static UnevenFleet fleet(long seed, int servers, int zones) {
        UnevenFleet fleet = new UnevenFleet(seed, SENDERS, zones);
        for (int i = 0; i < servers; i++) {
            fleet.addServer("z" + (i / SPEEDS.length) % zones, SLOTS[i % SLOTS.length], SPEEDS[i % SPEEDS.length]);
        }
        return fleet;
    }

    private static void measure(UnevenFleet fleet, double utilization) {
        double requestsPerSecond = fleet.requestsPerSecond(utilization);
        fleet.run(WARM_UP, requestsPerSecond);
        fleet.resetCounts();
        fleet.run(MEASURED, requestsPerSecond);
    }

    private static double shareOf(int count, UnevenFleet fleet) {
        return (double) count / fleet.arrivals;
    }

    @Nested
    class Speed {
        /** Guards against equal shares of arrivals for backend servers of unequal speed. */
        @ParameterizedTest
        @CsvSource({"4, 0.2", "4, 0.4", "12, 0.2", "12, 0.4", "48, 0.4", "48, 0.5"})
        void unevenSpeeds_steadyState_utilizationIsEven(int servers, double utilization) {
            UnevenFleet fleet = fleet(servers, 1);
            measure(fleet, utilization);
            assertTrue(fleet.busiestToMean() <= 1.2, "busiest/mean " + fleet.busiestToMean());
        }

        /** Guards against a server that becomes slow and goes on getting its earlier share. */
        @ParameterizedTest
        @CsvSource({"4, 1", "4, 2", "4, 3", "12, 1", "12, 2", "12, 3"})
        void serverBecomesThreeTimesSlower_utilizationIsEvenThreeSecondsLater(int servers, long seed) {
            UnevenFleet fleet = fleet(seed, servers, 1);
            double requestsPerSecond = fleet.requestsPerSecond(0.45);
            fleet.run(WARM_UP, requestsPerSecond);
            fleet.servers.get(2).speed /= 3;
            fleet.run(Duration.ofSeconds(3), requestsPerSecond);
            fleet.resetCounts();
            fleet.run(Duration.ofSeconds(5), requestsPerSecond);
            assertTrue(fleet.busiestToMean() <= 1.5, "busiest/mean " + fleet.busiestToMean());
        }

        /** Guards against all senders that received the same report selecting the same server. */
        @Test
        void sameReportAtAllSenders_oneServerIdle_requestsSpread() {
            UnevenFleet fleet = new UnevenFleet(7, SENDERS, 1);
            fleet.interference = false;
            for (int i = 0; i < 12; i++) {
                fleet.addServer("z0", 8, 1);
            }
            fleet.run(WARM_UP, fleet.requestsPerSecond(0.5));
            Server idle = fleet.addServer("z0", 8, 1);
            fleet.shareReports();
            fleet.resetCounts();
            fleet.burst(1);
            fleet.run(Duration.ofMillis(5), 1);
            assertTrue(idle.arrivals <= SENDERS / 4, "of " + SENDERS + " requests: " + idle.arrivals);
        }
    }

    @Nested
    class Rejections {
        /** Guards against a server that rejects half of its requests at once and therefore looks idle and fast. */
        @Test
        void oneServerShedsHalf_getsFewerArrivals() {
            UnevenFleet fleet = fleet(4, 1);
            Server shedding = fleet.servers.get(1);
            shedding.rejectedShare = 0.5;
            measure(fleet, 0.35);
            // A third of the capacity, of which half is lost.
            assertTrue(shareOf(shedding.arrivals, fleet) <= 0.17, "share " + shareOf(shedding.arrivals, fleet));
        }

        /**
         * Guards against early refusals of requests that would have been served: the servers reject half regardless of
         * their load, so that fewer requests only mean fewer successes.
         */
        @Test
        void allServersShedHalf_theOtherHalfIsServed() {
            UnevenFleet fleet = fleet(4, 1);
            fleet.servers.forEach(server -> server.rejectedShare = 0.5);
            measure(fleet, 0.3);
            assertTrue(shareOf(fleet.served, fleet) >= 0.5, "served " + shareOf(fleet.served, fleet));
        }

        /** Guards against arrivals that servers without capacity reject, at the expense of the retry budget. */
        @Test
        void allServersLackCapacity_surplusIsRefusedEarlyAndNothingElse() {
            UnevenFleet fleet = fleet(4, 1);
            fleet.interference = false;
            fleet.servers.forEach(server -> server.rejectsFrom = 3);
            measure(fleet, 1.5);
            int possible = fleet.servers.stream()
                    .mapToInt(server -> (int) (3 * server.speed / UnevenFleet.MEAN_WORK_S * MEASURED.toSeconds()))
                    .sum();
            String seen = "served " + fleet.served + ", possible " + possible + ", rejected " + fleet.rejected
                    + ", refused early " + fleet.refusedEarly + ", arrived " + fleet.arrivals;

            assertTrue(fleet.rejected <= 2.5 * fleet.served, seen);
            assertTrue(fleet.served >= 0.8 * possible, seen);
        }

        /** Guards against refusals that go on after the servers have recovered. */
        @Test
        void serversRecover_earlyRefusalsEnd() {
            UnevenFleet fleet = fleet(4, 1);
            fleet.servers.forEach(server -> server.rejectsFrom = 1);
            fleet.run(WARM_UP, fleet.requestsPerSecond(0.4));
            fleet.servers.forEach(server -> server.rejectsFrom = Integer.MAX_VALUE);
            fleet.run(WARM_UP, fleet.requestsPerSecond(0.4));
            fleet.resetCounts();
            fleet.run(WARM_UP, fleet.requestsPerSecond(0.4));
            assertEquals(0, fleet.refusedEarly);
        }

        /** Guards against a server that fails at once, looks idle, and attracts the requests of the whole service. */
        @Test
        void oneServerFailsQuickly_getsFewRequests() {
            UnevenFleet fleet = fleet(4, 1);
            fleet.servers.get(3).failsQuickly = true;
            measure(fleet, 0.35);
            assertTrue(shareOf(fleet.failed, fleet) <= 0.1, "failed " + shareOf(fleet.failed, fleet));
        }

        /** Guards against a server whose wrong responses are quick and look like successes of a very fast one. */
        @Test
        void oneServerSeemsHundredTimesFaster_getsBoundedShare() {
            UnevenFleet fleet = fleet(12, 1);
            Server wrong = fleet.servers.get(2);
            wrong.speed *= 100;
            fleet.run(WARM_UP, 200);
            fleet.resetCounts();
            fleet.run(MEASURED, 200);
            assertTrue(shareOf(wrong.arrivals, fleet) <= 0.4, "share " + shareOf(wrong.arrivals, fleet));
        }

        /** Guards against ejecting all servers of a service, which would send everything to none or to one. */
        @Test
        void allServersFail_noneGetsMoreThanHalf() {
            UnevenFleet fleet = fleet(4, 1);
            fleet.servers.forEach(server -> server.failsQuickly = true);
            measure(fleet, 0.3);
            int most = fleet.servers.stream()
                    .mapToInt(server -> server.arrivals)
                    .max()
                    .orElseThrow();
            assertEquals(fleet.arrivals, fleet.failed);
            assertTrue(shareOf(most, fleet) <= 0.5, "share " + shareOf(most, fleet));
        }
    }

    @Nested
    class Room {
        /** Guards against refusals although one server has room. */
        @Test
        void allServersButOneFull_itIsFound() {
            UnevenFleet fleet = fleet(12, 1);
            fleet.interference = false;
            fleet.servers.forEach(server -> server.full = true);
            fleet.servers.get(7).full = false;
            fleet.run(Duration.ofSeconds(5), 80);
            fleet.resetCounts();
            fleet.run(WARM_UP, 80);
            assertTrue(shareOf(fleet.refused, fleet) <= 0.1, "refused " + shareOf(fleet.refused, fleet));
        }

        /** Guards against traffic between zones, which is charged, while the own zone has room. */
        @Test
        void ownZoneHasRoom_requestsStayInIt() {
            UnevenFleet fleet = fleet(24, 3);
            measure(fleet, 0.25);
            assertTrue(shareOf(fleet.crossZone, fleet) <= 0.05, "crossing " + shareOf(fleet.crossZone, fleet));
        }

        /** Guards against refusals in one zone while another one has room. */
        @Test
        void ownZoneFull_roomInOtherZonesIsUsed() {
            UnevenFleet fleet = fleet(24, 3);
            measure(fleet, 0.25);
            fleet.servers.stream()
                    .filter(server -> server.candidate.zone().name().equals("z0"))
                    .forEach(server -> server.full = true);
            fleet.run(Duration.ofSeconds(2), fleet.requestsPerSecond(0.25));
            fleet.resetCounts();
            fleet.run(WARM_UP, fleet.requestsPerSecond(0.25));
            assertTrue(shareOf(fleet.refused, fleet) <= 0.01, "refused " + shareOf(fleet.refused, fleet));
        }
    }
}
