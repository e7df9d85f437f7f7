package io.daisyhoist.core.retry;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.TimeSource;

/**
 * Decides which requests to a backend server are given up because it will not respond to them.
 *
 * <p>Some backend servers never respond to a request that they cannot queue. Such a request cannot be told from a long one by its
 * age alone. It is given up if it has taken several times as long as almost all recent requests of its route, if the backend
 * server has responded to requests that were sent later, so that it is not the backend server as a whole that is slow, and if the
 * remaining time suffices for a run at another one. Its outcome is unknown, so that only requests that may run twice are given up.
 * Confined to one thread.
 */
public final class UnansweredRequests {
    /** Share of the recent run times of a route that are taken as usual. */
    private static final double USUAL_SHARE = 0.99;

    private static final int USUAL_RUN_TIMES = 3;

    /** Prevents that short pauses of a backend server with very short run times count. */
    private static final Duration MIN_WAIT = Duration.ofMillis(250);

    /** Responses to later requests; one alone may have overtaken the request by chance. */
    private static final int MIN_LATER_RESPONSES = 5;

    private final TimeSource time;
    private final Map<String, LatencyWindow> runTimes = new HashMap<>();
    private final TreeMap<Long, SentRequest> waiting = new TreeMap<>();
    private long nextNumber;

    private static final class SentRequest {
        private final String route;
        private final Deadline deadline;
        private final boolean repeatable;
        private final long sentNanos;
        private int laterResponses;
        private boolean givenUp;

        private SentRequest(String route, Deadline deadline, boolean repeatable, long sentNanos) {
            this.route = route;
            this.deadline = deadline;
            this.repeatable = repeatable;
            this.sentNanos = sentNanos;
        }
    }

    /** Creates a record without requests. */
    public UnansweredRequests(TimeSource time) {
        this.time = time;
    }

    /**
     * Records a request that was written, and returns its number.
     *
     * @param route name of its route, from the configuration
     * @param deadline latest time of the response
     * @param repeatable whether it may run again after its outcome has become unknown
     */
    public long onSent(String route, Deadline deadline, boolean repeatable) {
        long number = nextNumber++;
        waiting.put(number, new SentRequest(route, deadline, repeatable, time.monotonicNanos()));
        return number;
    }

    /** Records the response to a request. */
    public void onResponse(long number) {
        SentRequest answered = waiting.remove(number);
        if (answered == null) {
            return;
        }
        runTimes.computeIfAbsent(answered.route, added -> new LatencyWindow())
                .add(Duration.ofNanos(time.monotonicNanos() - answered.sentNanos));
        waiting.headMap(number).values().forEach(earlier -> earlier.laterResponses++);
    }

    /** Records the end of a request that got no response; has no effect after a response. */
    public void onEnd(long number) {
        waiting.remove(number);
    }

    /** Returns the requests to give up; each one is returned once. */
    public List<Long> takeOverdue() {
        List<Long> overdue = waiting.entrySet().stream()
                .filter(entry -> isOverdue(entry.getValue()))
                .map(Map.Entry::getKey)
                .toList();
        overdue.forEach(number -> waiting.get(number).givenUp = true);
        return overdue;
    }

    private boolean isOverdue(SentRequest request) {
        if (!request.repeatable || request.givenUp || request.laterResponses < MIN_LATER_RESPONSES) {
            return false;
        }
        Optional<Duration> usual =
                Optional.ofNullable(runTimes.get(request.route)).flatMap(window -> window.percentile(USUAL_SHARE));
        if (usual.isEmpty()) {
            return false;
        }
        Duration waited = Duration.ofNanos(time.monotonicNanos() - request.sentNanos);
        return waited.compareTo(MIN_WAIT) > 0
                && waited.compareTo(usual.get().multipliedBy(USUAL_RUN_TIMES)) > 0
                && request.deadline.remaining(time).compareTo(usual.get()) > 0;
    }
}
