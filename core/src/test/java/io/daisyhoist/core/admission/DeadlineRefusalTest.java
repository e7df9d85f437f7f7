package io.daisyhoist.core.admission;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class DeadlineRefusalTest {
    private static final long WORK_NANOS = Duration.ofMillis(200).toNanos();
    private static final OptionalDouble FULL = OptionalDouble.of(6);

    private final DeadlineRefusal refusal = new DeadlineRefusal();

    private long nowNanos;

    private Optional<Duration> decide(int priority, boolean nested, long deadlineMillis, OptionalDouble utilization) {
        long deadlineNanos = nowNanos + Duration.ofMillis(deadlineMillis).toNanos();
        RequestCost cost =
                new RequestCost(1, priority, nested, deadlineNanos, deadlineNanos, new WorkEstimate(WORK_NANOS, 0));
        return refusal.timeUntilRoom(cost, utilization, WORK_NANOS, nowNanos);
    }

    @Test
    void timeUntilRoom_waitExceedsDeadline_isWait() {
        assertEquals(Optional.of(Duration.ofSeconds(1)), decide(2, false, 1_100, FULL));
    }

    @Test
    void timeUntilRoom_enoughTimeOrFreeSlotOrUnknownLoad_isEmpty() {
        assertEquals(Optional.empty(), decide(2, false, 1_200, FULL));
        assertEquals(Optional.empty(), decide(2, false, 100, OptionalDouble.of(1)));
        assertEquals(Optional.empty(), decide(2, false, 100, OptionalDouble.empty()));
    }

    /** Guards against refusing a request because of others before which it would be served. */
    @Test
    void timeUntilRoom_nestedOrMoreUrgent_isEmpty() {
        decide(2, false, 5_000, FULL);
        assertEquals(Optional.empty(), decide(1, false, 300, FULL));
        assertEquals(Optional.empty(), decide(2, true, 300, FULL));
    }

    /** Guards against one request of a low priority after which no other one is ever refused early. */
    @Test
    void timeUntilRoom_lowerPriorityNoLongerSeen_isWait() {
        decide(7, false, 5_000, FULL);
        assertEquals(Optional.empty(), decide(2, false, 300, FULL));
        for (int i = 0; i < 3; i++) {
            nowNanos += Duration.ofSeconds(11).toNanos();
            decide(2, false, 5_000, FULL);
        }
        assertEquals(Optional.of(Duration.ofSeconds(1)), decide(2, false, 300, FULL));
    }

    /** Guards against a kind that is never sent again, so that no new load report corrects the refusal. */
    @Test
    void timeUntilRoom_repeatedly_sendsEveryFourth() {
        long refused = IntStream.range(0, 40)
                .filter(i -> decide(2, false, 300, FULL).isPresent())
                .count();
        assertEquals(30, refused);
    }
}
