package io.daisyhoist.daemon.process;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;

/**
 * Whether the backend server beside this daemon is there, judged by its announcements.
 *
 * <p>Announcements arrive every second; one that is missing for {@link #VALIDITY} means that the backend server is gone
 * or frozen. Owned by the control thread.
 */
final class BackendPresence {
    /** State that a backend server announces. */
    enum State {
        STARTING,
        READY,
        LEAVING
    }

    /** Three announcement intervals, so that one lost announcement does not move partitions. */
    static final Duration VALIDITY = Duration.ofSeconds(3);

    private final TimeSource time;
    private Optional<ElapsedTimer> announcedAt = Optional.empty();
    private State state = State.STARTING;

    BackendPresence(TimeSource time) {
        this.time = time;
    }

    void onAnnouncement(State announced) {
        state = announced;
        announcedAt = Optional.of(ElapsedTimer.start(time));
    }

    /** Returns whether the backend server may receive partitions and keyless requests. */
    boolean isAvailable() {
        return state == State.READY
                && announcedAt
                        .map(timer -> timer.elapsed(time).compareTo(VALIDITY) < 0)
                        .orElse(false);
    }
}
