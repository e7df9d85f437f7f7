package io.daisyhoist.core.retry;

import java.time.Duration;
import java.util.List;

import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Load: requests of 100 ms, of which a backend server drops single ones without a response. */
class UnansweredRequestsTest {
    private static final Duration USUAL = Duration.ofMillis(100);
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final ManualTimeSource time = new ManualTimeSource();
    private final UnansweredRequests requests = new UnansweredRequests(time);

    private long send(boolean repeatable) {
        return requests.onSent("r", Deadline.after(time, TIMEOUT), repeatable);
    }

    private void answer(int count) {
        for (int i = 0; i < count; i++) {
            long number = send(true);
            time.advance(USUAL);
            requests.onResponse(number);
        }
    }

    /** Guards against a request that waits until its deadline although the backend server has dropped it. */
    @Test
    void takeOverdue_othersAnsweredMeanwhile_givesUpOnce() {
        answer(64);
        long dropped = send(true);
        answer(2);
        assertEquals(List.of(), requests.takeOverdue());
        answer(4);
        assertEquals(List.of(dropped), requests.takeOverdue());
        assertEquals(List.of(), requests.takeOverdue());
    }

    /** Guards against requests that are repeated because the whole backend server is slow. */
    @Test
    void takeOverdue_nothingAnsweredMeanwhile_waits() {
        answer(64);
        send(true);
        time.advance(Duration.ofSeconds(2));
        assertEquals(List.of(), requests.takeOverdue());
    }

    /** Guards against a second run of a request that must not be repeated. */
    @Test
    void takeOverdue_mustNotBeRepeated_waits() {
        answer(64);
        send(false);
        answer(10);
        assertEquals(List.of(), requests.takeOverdue());
    }

    /** Guards against giving up the first long request of a route whose run times are not known. */
    @Test
    void takeOverdue_runTimesUnknown_waits() {
        answer(64);
        requests.onSent("long", Deadline.after(time, TIMEOUT), true);
        answer(10);
        assertEquals(List.of(), requests.takeOverdue());
    }

    /** Guards against giving up a response that may still come when there is no time for another attempt. */
    @Test
    void takeOverdue_noTimeForAnotherAttempt_waits() {
        answer(64);
        requests.onSent("r", Deadline.after(time, USUAL.multipliedBy(10)), true);
        answer(10);
        assertEquals(List.of(), requests.takeOverdue());
    }
}
