package io.daisyhoist.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.core.error.RefusalCode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class AdmissionControllerTest {
    private static final Duration LONG = Duration.ofSeconds(30);
    private static final Duration LATENCY = Duration.ofMillis(10);

    private final ManualTime time = new ManualTime();

    private AdmissionController controller(int limit, int queueBound) {
        return new AdmissionController(time, new SlotLimit(limit), queueBound);
    }

    private static Permit admitted(AdmissionDecision decision) {
        return ((AdmissionDecision.Admitted) decision).permit();
    }

    private static RefusalCode refused(AdmissionDecision decision) {
        return ((AdmissionDecision.Refused) decision).refusal().code();
    }

    @Nested
    class Examples {
        @Test
        void offer_expectedWaitExceedsDeadline_isRefusedImmediately() {
            AdmissionController controller = controller(1, 10);
            Permit first = admitted(controller.offer(Rank.NORMAL, LONG));
            controller.complete(first, Outcome.OK, Duration.ofSeconds(1));
            controller.offer(Rank.NORMAL, LONG);
            assertEquals(RefusalCode.OVERLOADED, refused(controller.offer(Rank.NORMAL, Duration.ofMillis(900))));
            assertTrue(controller.offer(Rank.NORMAL, Duration.ofMillis(1_100)) instanceof AdmissionDecision.Queued);
        }

        /** Guards against short calls that wait behind long requests of the same rank until their deadline passes. */
        @Test
        void complete_sameRank_admitsEarliestDeadlineFirst() {
            AdmissionController controller = controller(1, 10);
            Permit running = admitted(controller.offer(Rank.NORMAL, LONG));
            controller.offer(Rank.NORMAL, LONG);
            QueueEntry urgent =
                    ((AdmissionDecision.Queued) controller.offer(Rank.NORMAL, Duration.ofMillis(100))).entry();
            AdmissionUpdate update = controller.complete(running, Outcome.CANCELLED, Duration.ZERO);
            assertEquals(
                    List.of(urgent),
                    update.admitted().stream()
                            .map(AdmissionUpdate.Admission::entry)
                            .toList());
        }

        /**
         * Guards against long requests of a lower rank that occupy all slots while short calls wait until they fail.
         */
        @Test
        void offer_slotReservedForHigherRank_lowerRankIsQueued() {
            AdmissionController controller = controller(3, 10);
            controller.reserve(Rank.NORMAL, 1);
            admitted(controller.offer(Rank.BROWSE, LONG));
            admitted(controller.offer(Rank.BROWSE, LONG));
            assertTrue(controller.offer(Rank.BROWSE, LONG) instanceof AdmissionDecision.Queued);
            assertTrue(controller.offer(Rank.NORMAL, LONG) instanceof AdmissionDecision.Admitted);
        }

        @Test
        void complete_samePermitTwice_freesOneSlot() {
            AdmissionController controller = controller(2, 10);
            Permit first = admitted(controller.offer(Rank.NORMAL, LONG));
            controller.offer(Rank.NORMAL, LONG);
            controller.complete(first, Outcome.OK, LATENCY);
            controller.complete(first, Outcome.OK, LATENCY);
            controller.offer(Rank.NORMAL, LONG);
            assertTrue(controller.offer(Rank.NORMAL, LONG) instanceof AdmissionDecision.Queued);
        }

        @Test
        void onLoadReport_recent_decreasesLimitButNeverIncreasesIt() {
            AdmissionController controller = controller(6, 10);
            controller.onLoadReport(new LoadReport(0, 50, Duration.ZERO));
            assertEquals(6, controller.limit());
            controller.onLoadReport(new LoadReport(0, 4, Duration.ofSeconds(1)));
            assertEquals(4, controller.limit());
            time.advance(Duration.ofSeconds(2));
            assertEquals(6, controller.limit());
            controller.onLoadReport(new LoadReport(3, 6, Duration.ZERO));
            assertEquals(3, controller.limit(), "three running requests are not tracked by the controller");
            controller.onLoadReport(new LoadReport(99, 6, Duration.ZERO));
            assertEquals(1, controller.limit(), "a misleading report must not stop all work");
        }

        @Test
        void close_shedsQueuedAndRefusesNewButNotInFlight() {
            AdmissionController controller = controller(1, 10);
            Permit running = admitted(controller.offer(Rank.NORMAL, LONG));
            controller.offer(Rank.INTERNAL, LONG);
            Refusal zoneOut = Refusal.of(RefusalCode.ZONE_OUT, "zone is out", Duration.ZERO);
            assertEquals(zoneOut, controller.close(zoneOut).shed().get(0).refusal());
            assertEquals(RefusalCode.ZONE_OUT, refused(controller.offer(Rank.INTERNAL, LONG)));
            assertEquals(1, controller.inFlight());
            controller.complete(running, Outcome.OK, LATENCY);
            controller.open();
            admitted(controller.offer(Rank.BROWSE, LONG));
        }

        @Test
        void offer_coldAndFull_isRefusedWithColdStart() {
            AdmissionController controller = new AdmissionController(time, new AdaptiveLimit(time, 2, 9), 0);
            controller.offer(Rank.NORMAL, LONG);
            controller.offer(Rank.NORMAL, LONG);
            assertEquals(RefusalCode.COLD_START, refused(controller.offer(Rank.INTERNAL, LONG)));
        }
    }

    /** Reference model of a controller with a fixed limit, which checks each result of the controller. */
    private final class ReferenceModel {
        private final Random random;
        private final int limit;
        private final int bound;
        private final AdmissionController controller;
        private final List<Permit> running = new ArrayList<>();
        private final List<QueueEntry> waiting = new ArrayList<>();
        private long displaced;
        private long exclusiveAdmitted;

        ReferenceModel(long seed) {
            random = new Random(seed);
            limit = 1 + random.nextInt(9);
            bound = random.nextInt(2 * limit + 1);
            controller = controller(limit, bound);
        }

        void step() {
            int choice = random.nextInt(100);
            if (choice < 55) {
                offer();
            } else if (choice < 85 && !running.isEmpty()) {
                Outcome[] outcomes = Outcome.values();
                Permit ended = running.remove(random.nextInt(running.size()));
                apply(controller.complete(ended, outcomes[random.nextInt(outcomes.length)], LATENCY));
            } else if (choice < 90) {
                time.advance(Duration.ofMillis(random.nextInt(200)));
                apply(controller.processQueue());
            } else if (choice < 93 && !waiting.isEmpty()) {
                apply(controller.cancel(waiting.remove(random.nextInt(waiting.size()))));
            }
            assertEquals(running.size(), controller.inFlight());
            assertEquals(waiting.size(), controller.queued());
            assertTrue(waiting.size() <= bound, "queue bound");
            assertTrue(waiting.isEmpty() || !running.isEmpty(), "requests are queued while the backend server is idle");
        }

        private void offer() {
            Rank rank = Rank.values()[random.nextInt(3)];
            Duration remaining = Duration.ofMillis(random.nextInt(2_000));
            boolean full = waiting.size() == bound;
            AdmissionDecision decision = controller.offer(rank, remaining, random.nextInt(12) == 0);
            if (decision instanceof AdmissionDecision.Admitted admitted) {
                assertTrue(
                        waiting.stream().allMatch(entry -> rank.isAbove(entry.rank())),
                        "admitted before a queued request of the same or a higher rank");
                admit(admitted.permit());
            } else if (decision instanceof AdmissionDecision.Queued queued) {
                queued.shed().forEach(shed -> checkShed(shed, Optional.of(rank)));
                waiting.add(queued.entry());
            } else if (full && refused(decision) == RefusalCode.OVERLOADED && remaining.compareTo(LATENCY) > 0) {
                boolean lowerRankWaits = waiting.stream().anyMatch(entry -> rank.isAbove(entry.rank()));
                assertFalse(
                        lowerRankWaits && expectedWait(rank).compareTo(remaining) <= 0,
                        "refused while a lower rank is queued");
            }
        }

        private Duration expectedWait(Rank rank) {
            long queuedAhead = waiting.stream()
                    .filter(entry -> !rank.isAbove(entry.rank()))
                    .count();
            return LATENCY.multipliedBy(queuedAhead + 1).dividedBy(limit);
        }

        private void apply(AdmissionUpdate update) {
            update.shed().forEach(shed -> checkShed(shed, Optional.empty()));
            for (AdmissionUpdate.Admission admission : update.admitted()) {
                QueueEntry first = waiting.stream()
                        .min(Comparator.comparing(QueueEntry::rank)
                                .thenComparing(QueueEntry::deadlineNanos)
                                .thenComparing(QueueEntry::number))
                        .orElseThrow();
                assertEquals(first, admission.entry(), "highest rank first, then by deadline, then by arrival");
                assertTrue(first.deadlineNanos() > time.monotonicNanos(), "admitted after its deadline");
                waiting.remove(first);
                admit(admission.permit());
            }
        }

        private void admit(Permit permit) {
            assertTrue(running.size() < limit, "limit exceeded");
            assertTrue(
                    running.stream().noneMatch(Permit::exclusive), "admitted while an exclusive request is in flight");
            assertTrue(
                    running.isEmpty() || !permit.exclusive(), "exclusive request admitted while others are in flight");
            exclusiveAdmitted += permit.exclusive() ? 1 : 0;
            running.add(permit);
        }

        private void checkShed(AdmissionUpdate.Shed shed, Optional<Rank> displacingRank) {
            assertTrue(waiting.remove(shed.entry()), "shed a request that is not queued");
            if (shed.refusal().code() == RefusalCode.DEADLINE_EXCEEDED) {
                assertTrue(shed.entry().deadlineNanos() <= time.monotonicNanos(), "shed before its deadline");
                return;
            }
            displaced++;
            assertTrue(
                    displacingRank.orElseThrow().isAbove(shed.entry().rank()),
                    "displaced by a rank that is not higher");
            assertTrue(
                    waiting.stream().noneMatch(entry -> shed.entry().rank().isAbove(entry.rank())),
                    "shed while a lower rank is queued");
        }
    }

    @Nested
    class Property {
        /** Guards against overloading the backend server and against shedding requests of a higher rank first. */
        @Test
        void anyHistory_keepsLimitQueueBoundOrderAndExclusivity() {
            long displaced = 0;
            long exclusiveAdmitted = 0;
            for (long seed = 0; seed < 500; seed++) {
                ReferenceModel model = new ReferenceModel(seed);
                try {
                    for (int i = 0; i < 500; i++) {
                        model.step();
                    }
                } catch (AssertionError e) {
                    throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
                }
                displaced += model.displaced;
                exclusiveAdmitted += model.exclusiveAdmitted;
            }
            assertTrue(displaced > 1_000 && exclusiveAdmitted > 1_000, displaced + " " + exclusiveAdmitted);
        }
    }
}
