package io.daisyhoist.core.membership;

import java.time.Duration;

/** Schedules reads of the group record and tracks whether the platform responds. Not thread-safe. */
final class GroupRecordReader {
    /**
     * Without a response within this time, no change is started that interrupts service until the platform responds.
     */
    private static final Duration RESPONSIVE_WINDOW = Duration.ofSeconds(1);

    private static final Duration MIN_READ_INTERVAL = Duration.ofMillis(100);
    private static final Duration MAX_READ_INTERVAL = Duration.ofSeconds(1);
    /** Keeps a lost response from blocking later reads. */
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(1);
    /** One reader per group at this interval takes 262 of about 2,000 reads/s with 525 groups. */
    private static final Duration PROPOSER_READ_INTERVAL = Duration.ofSeconds(2);
    /** Bounds staleness when all pushes and heartbeats that carry a version are lost; 210 reads/s for 6,300 daemons. */
    private static final Duration MEMBER_READ_INTERVAL = Duration.ofSeconds(30);

    private final ControllerContext context;
    private boolean readRequested = true;
    private boolean awaitingResponse;
    private boolean responded;
    private long lastResponseNanos;
    private long nextReadNanos;
    private long timeoutNanos;
    private long nextPeriodicReadNanos;
    private Duration readInterval = MIN_READ_INTERVAL;

    GroupRecordReader(ControllerContext context) {
        this.context = context;
        nextReadNanos = context.time().monotonicNanos();
        nextPeriodicReadNanos = nextReadNanos;
    }

    /** Requests a read as soon as the minimum interval allows. */
    void requestRead() {
        readRequested = true;
    }

    /** Returns whether the platform responded within {@link #RESPONSIVE_WINDOW}; if not, requests a read. */
    boolean isResponsive() {
        boolean responsive = responded && !context.isDue(lastResponseNanos + RESPONSIVE_WINDOW.toNanos());
        if (!responsive) {
            requestRead();
        }
        return responsive;
    }

    void onResponse() {
        responded = true;
        lastResponseNanos = context.time().monotonicNanos();
        readInterval = MIN_READ_INTERVAL;
    }

    void onReadFinished() {
        awaitingResponse = false;
        onResponse();
    }

    void onReadFailed() {
        awaitingResponse = false;
        readRequested = true;
        readInterval = readInterval.multipliedBy(2).compareTo(MAX_READ_INTERVAL) < 0
                ? readInterval.multipliedBy(2)
                : MAX_READ_INTERVAL;
    }

    void onTick(boolean isProposer) {
        if (awaitingResponse && context.isDue(timeoutNanos)) {
            onReadFailed();
        }
        if (context.isDue(nextPeriodicReadNanos)) {
            readRequested = true;
        }
        if (isProposer && context.isDue(nextReadNanos + PROPOSER_READ_INTERVAL.toNanos())) {
            readRequested = true;
        }
        if (readRequested && !awaitingResponse && context.isDue(nextReadNanos)) {
            read();
        }
    }

    private void read() {
        readRequested = false;
        awaitingResponse = true;
        timeoutNanos = context.nanosAfter(READ_TIMEOUT);
        nextReadNanos = context.nanosAfter(readInterval);
        nextPeriodicReadNanos = context.nanosAfterRandom(MEMBER_READ_INTERVAL) + MEMBER_READ_INTERVAL.toNanos() / 2;
        context.emit(new GroupAction.ReadRecord());
    }
}
