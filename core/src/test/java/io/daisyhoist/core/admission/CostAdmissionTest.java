package io.daisyhoist.core.admission;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.admission.CostDecision.Reason;
import io.daisyhoist.core.admission.CostDecision.Refused;
import io.daisyhoist.core.admission.CostDecision.Started;
import io.daisyhoist.core.admission.CostDecision.Waiting;
import io.daisyhoist.core.time.ManualTimeSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CostAdmissionTest {
    private static final Duration LONG = Duration.ofSeconds(10);

    private final ManualTimeSource time = new ManualTimeSource();
    private final CostAdmission admission = new CostAdmission(time, new ValuePerWorkOrder(), 1, 3);

    private RequestCost cost(int kind, int priority, boolean nested, long workMillis, long targetMillis) {
        long now = time.monotonicNanos();
        return new RequestCost(
                kind,
                priority,
                nested,
                now + Duration.ofMillis(targetMillis).toNanos(),
                now + Duration.ofSeconds(2).toNanos(),
                new WorkEstimate(Duration.ofMillis(workMillis).toNanos(), 0));
    }

    private RequestCost cost(int priority, long workMillis) {
        return cost(priority, priority, false, workMillis, 1_000);
    }

    private CostRequest start(RequestCost cost) {
        return assertInstanceOf(Started.class, admission.offer(cost, LONG)).request();
    }

    private CostRequest enqueue(RequestCost cost) {
        return assertInstanceOf(Waiting.class, admission.offer(cost, LONG)).request();
    }

    private Refused refuse(RequestCost cost) {
        return assertInstanceOf(Refused.class, admission.offer(cost, LONG));
    }

    private CostRequest next(CostRequest ended) {
        admission.complete(ended);
        return admission.startNext().orElseThrow();
    }

    @Nested
    class Order {
        /** Guards against a nested call, whose outer request holds a slot elsewhere, that waits for new requests. */
        @Test
        void startNext_nestedCall_goesBeforeMoreUrgentRequests() {
            CostRequest running = start(cost(0, 100));
            enqueue(cost(0, 10));
            CostRequest nested = enqueue(cost(5, 2, true, 30, 100));
            assertSame(nested, next(running));
        }

        /** Guards against ranks that treat all configured priorities from 2 on as one. */
        @Test
        void startNext_priorities3And5_servesThePriorityAsConfigured() {
            CostRequest running = start(cost(0, 100));
            enqueue(cost(5, 10));
            CostRequest urgent = enqueue(cost(3, 200));
            assertSame(urgent, next(running));
        }

        /** Guards against late requests that delay those that can still be in time. */
        @Test
        void startNext_shortRequestAlreadyLate_goesAfterOneInTime() {
            CostRequest running = start(cost(1, 100));
            enqueue(cost(1, 1, false, 60, 0));
            CostRequest inTime = enqueue(cost(1, 100));
            assertSame(inTime, next(running));
        }

        /** Guards against a slot for one long request while several short ones become late. */
        @Test
        void startNext_samePriority_servesLeastWorkFirst() {
            CostRequest running = start(cost(1, 100));
            enqueue(cost(1, 400));
            CostRequest brief = enqueue(cost(1, 60));
            assertSame(brief, next(running));
        }

        /** Guards against a kind of low priority that is never served as long as urgent requests keep coming. */
        @Test
        void startNext_lastingUrgentLoad_servesLowPriorityItsShare() {
            CostRequest running = start(cost(0, 10));
            int low = 0;
            for (int i = 0; i < 100; i++) {
                admission.offer(cost(0, 10), LONG);
                admission.offer(cost(7, 10), LONG);
                time.advance(Duration.ofMillis(10));
                running = next(running);
                low += running.cost().priority() == 7 ? 1 : 0;
            }
            // Half of all requests are served; a quarter of that half is 12.5 of 100.
            assertTrue(low >= 13 && low <= 25, "served with low priority: " + low);
        }
    }

    @Nested
    class Refusal {
        /** Guards against holding a request until its deadline that cannot be served before it. */
        @Test
        void offer_workAheadExceedsDeadline_isRefusedAtOnceWithTimeUntilRoom() {
            start(cost(1, 2_000));
            enqueue(cost(1, 900));
            Refused refused = refuse(cost(1, 950));
            assertEquals(Reason.DEADLINE_UNREACHABLE, refused.reason());
            assertEquals(Duration.ofMillis(1_900), refused.retryAfter());
        }

        /** Guards against refusing a short call that gets the next of several slots long before its deadline. */
        @Test
        void offer_shortDeadlineAndManySlots_waitsForTheNextSlot() {
            admission.setLimits(6, 24);
            for (int i = 0; i < 6; i++) {
                start(cost(2, 400));
            }
            long deadlineNanos = time.monotonicNanos() + Duration.ofMillis(150).toNanos();
            WorkEstimate work = new WorkEstimate(Duration.ofMillis(15).toNanos(), 0);
            enqueue(new RequestCost(1, 1, false, deadlineNanos, deadlineNanos, work));
        }

        /** Guards against a waiting request that is overtaken until no time is left for its caller to go elsewhere. */
        @Test
        void refuseNext_overtakenByUrgentWork_isRefusedBeforeItsDeadline() {
            start(cost(0, 400));
            CostRequest waiting = enqueue(cost(2, 1_000));
            enqueue(cost(0, 600));
            assertEquals(
                    Optional.empty(),
                    admission.refuseNext().filter(refused -> refused.reason() != Reason.DEADLINE_UNREACHABLE));
            enqueue(cost(0, 600));
            assertSame(waiting, admission.refuseNext().orElseThrow().request());
        }

        /** Guards against a full queue of cheap requests that keeps out a more urgent one. */
        @Test
        void offer_queueFull_displacesTheLeastUrgent() {
            start(cost(1, 10));
            enqueue(cost(1, 10));
            CostRequest least = enqueue(cost(3, 10));
            enqueue(cost(2, 10));
            Waiting waiting = assertInstanceOf(Waiting.class, admission.offer(cost(0, 10), LONG));
            assertSame(least, waiting.displaced().orElseThrow().request());
            assertEquals(Reason.QUEUE_FULL, refuse(cost(4, 10)).reason());
        }

        @Test
        void refuseNext_latestStartPassed_isRefused() {
            start(cost(1, 10));
            CostRequest waiting = enqueue(cost(1, 500));
            time.advance(Duration.ofMillis(1_501));
            Refused refused = admission.refuseNext().orElseThrow();
            assertSame(waiting, refused.request());
            assertEquals(Reason.EXPIRED, refused.reason());
        }
    }

    @Nested
    class FreeSlot {
        /** Guards against refusing all requests of a kind with slots free, because an estimate is too high. */
        @Test
        void offer_estimateExceedsDeadlineAndSlotFree_starts() {
            start(cost(1, 60_000));
        }

        @Test
        void complete_twice_returnsOneSlot() {
            CostRequest running = start(cost(1, 10));
            enqueue(cost(1, 10));
            enqueue(cost(1, 10));
            next(running);
            admission.complete(running);
            assertEquals(Optional.empty(), admission.startNext());
        }

        @Test
        void cancel_waitingRequest_isNotStarted() {
            CostRequest running = start(cost(1, 10));
            admission.cancel(enqueue(cost(1, 10)));
            admission.complete(running);
            assertEquals(Optional.empty(), admission.startNext());
        }
    }
}
