package io.daisyhoist.daemon.process;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;

/**
 * Availability of the local backend server, derived from its announcements.
 *
 * <p>Announcements arrive every second; if none arrives for {@link #ANNOUNCEMENT_VALIDITY}, the backend server is
 * considered stopped or frozen. Confined to the control thread.
 */
final class BackendPresence {
    /** State that a backend server announces. */
    enum State {
        STARTING,
        READY,
        LEAVING
    }

    /** Three announcement intervals, so that one lost announcement does not cause partitions to move. */
    static final Duration ANNOUNCEMENT_VALIDITY = Duration.ofSeconds(3);

    private final TimeSource time;
    private Optional<ElapsedTimer> lastAnnouncement = Optional.empty();
    private State state = State.STARTING;

    BackendPresence(TimeSource time) {
        this.time = time;
    }

    void onAnnouncement(State announced) {
        state = announced;
        lastAnnouncement = Optional.of(ElapsedTimer.start(time));
    }

    /** Returns whether the backend server may receive partitions and keyless requests. */
    boolean isAvailable() {
        return state == State.READY
                && lastAnnouncement
                        .map(timer -> timer.elapsed(time).compareTo(ANNOUNCEMENT_VALIDITY) < 0)
                        .orElse(false);
    }
}
