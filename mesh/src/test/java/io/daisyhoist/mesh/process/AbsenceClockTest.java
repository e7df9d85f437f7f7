package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.Map;
import java.util.Set;

import io.daisyhoist.core.model.DaemonId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class AbsenceClockTest {
    private static final DaemonId DAEMON = new DaemonId("d");
    private static final Duration LIMIT = Duration.ofSeconds(10);

    private final Simulation simulation = new Simulation();
    private final AbsenceClock clock = new AbsenceClock(simulation.process());

    private void absentFor(Duration span, long creationRevision) {
        clock.update(Set.of(DAEMON), daemon -> creationRevision);
        simulation.runFor(span);
        clock.update(Set.of(DAEMON), daemon -> creationRevision);
    }

    /** Guards against counting the time before the absence was first seen. */
    @Test
    void absentLongerThan_startsWithFirstUpdate() {
        simulation.runFor(LIMIT.multipliedBy(2));
        absentFor(Duration.ofSeconds(9), 7);
        assertEquals(Map.of(), clock.absentLongerThan(LIMIT));
        absentFor(Duration.ofSeconds(2), 7);
        assertEquals(Map.of(DAEMON, 7L), clock.absentLongerThan(LIMIT));
    }

    /** Guards against counting an absence from before a registration that was not seen. */
    @Test
    void absentLongerThan_startsAgainWhenCreationRecordChanges() {
        absentFor(Duration.ofSeconds(9), 7);
        absentFor(Duration.ofSeconds(9), 8);
        assertEquals(Map.of(), clock.absentLongerThan(LIMIT));
        absentFor(Duration.ofSeconds(2), 8);
        assertEquals(Map.of(DAEMON, 8L), clock.absentLongerThan(LIMIT));
    }

    /** Guards against counting time in which the daemon was registered. */
    @Test
    void absentLongerThan_startsAgainAfterRegistration() {
        absentFor(Duration.ofSeconds(9), 7);
        clock.update(Set.of(), daemon -> 7);
        absentFor(Duration.ofSeconds(9), 7);
        assertEquals(Map.of(), clock.absentLongerThan(LIMIT));
    }
}
