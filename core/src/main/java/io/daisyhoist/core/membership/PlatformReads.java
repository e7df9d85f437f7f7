package io.daisyhoist.core.membership;

import java.time.Duration;

/** Schedules reads of the group record and knows whether the platform responds. Not thread-safe. */
final class PlatformReads {
    /** Without a response for this long, nothing is started that stops serving until the platform responds. */
    private static final Duration RESPONSIVE_WITHIN = Duration.ofSeconds(1);

    private static final Duration SHORTEST_INTERVAL = Duration.ofMillis(100);
    private static final Duration LONGEST_INTERVAL = Duration.ofSeconds(1);
    /** A lost response must not block later reads. */
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(1);
    /** With 525 groups, one reader per group at this interval takes 262 of about 2,000 reads/s. */
    private static final Duration PROPOSER_INTERVAL = Duration.ofSeconds(2);
    /** Bounds staleness when all pushes and heartbeats that carry a version are lost; 6,300 daemons: 210 reads/s. */
    private static final Duration MEMBER_INTERVAL = Duration.ofSeconds(30);

    private final ControlContext context;
    private boolean wanted = true;
    private boolean waiting;
    private boolean responded;
    private long respondedNanos;
    private long nextNanos;
    private long timeoutNanos;
    private long periodicNanos;
    private Duration interval = SHORTEST_INTERVAL;

    PlatformReads(ControlContext context) {
        this.context = context;
        nextNanos = context.time().monotonicNanos();
        periodicNanos = nextNanos;
    }

    /** Asks for a read as soon as the limits allow. */
    void request() {
        wanted = true;
    }

    /** Returns whether the platform responded within the last second; otherwise asks for a read. */
    boolean isResponsive() {
        boolean responsive = responded && !context.isDue(respondedNanos + RESPONSIVE_WITHIN.toNanos());
        if (!responsive) {
            request();
        }
        return responsive;
    }

    void onResponse() {
        responded = true;
        respondedNanos = context.time().monotonicNanos();
        interval = SHORTEST_INTERVAL;
    }

    void onReadFinished() {
        waiting = false;
        onResponse();
    }

    void onFailure() {
        waiting = false;
        wanted = true;
        interval =
                interval.multipliedBy(2).compareTo(LONGEST_INTERVAL) < 0 ? interval.multipliedBy(2) : LONGEST_INTERVAL;
    }

    void onTick(boolean proposer) {
        if (waiting && context.isDue(timeoutNanos)) {
            onFailure();
        }
        if (context.isDue(periodicNanos)) {
            wanted = true;
        }
        if (proposer && context.isDue(nextNanos + PROPOSER_INTERVAL.toNanos())) {
            wanted = true;
        }
        if (wanted && !waiting && context.isDue(nextNanos)) {
            read();
        }
    }

    private void read() {
        wanted = false;
        waiting = true;
        timeoutNanos = context.nanosAfter(READ_TIMEOUT);
        nextNanos = context.nanosAfter(interval);
        periodicNanos = context.nanosAfterRandom(MEMBER_INTERVAL) + MEMBER_INTERVAL.toNanos() / 2;
        context.emit(new GroupAction.ReadRecord());
    }
}
