package io.daisyhoist.core.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.daisyhoist.core.fleet.LocalBackend.Change;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LocalBackendTest {
    private final ManualTimeSource time = new ManualTimeSource();

    private static BackendHeartbeat heartbeat(long startedMillis, long sequence, boolean draining, long coldMillis) {
        return new BackendHeartbeat(
                new BackendLife("b", startedMillis),
                sequence,
                new Endpoint("127.0.0.1", 1000),
                new ServiceName("s"),
                6,
                draining,
                Duration.ofMillis(coldMillis),
                List.of(),
                List.of());
    }

    private LocalBackend after(Optional<LocalBackend> known, BackendHeartbeat heartbeat) {
        return LocalBackend.after(known, heartbeat, time);
    }

    /** Guards against a delayed heartbeat of an ended process that hides the present one. */
    @Test
    void classify_heartbeatOfEarlierProcessUnderTheSameId_isStale() {
        Optional<LocalBackend> known = Optional.of(after(Optional.empty(), heartbeat(200, 1, false, 0)));
        assertEquals(Change.STALE, LocalBackend.classify(known, heartbeat(100, 99, false, 0)));
        assertEquals(Change.NEW_PROCESS, LocalBackend.classify(known, heartbeat(300, 1, false, 0)));
    }

    /** Guards against reordered or doubled heartbeats. */
    @Test
    void classify_earlierSequence_isStale() {
        Optional<LocalBackend> known = Optional.of(after(Optional.empty(), heartbeat(200, 5, false, 0)));
        assertEquals(Change.STALE, LocalBackend.classify(known, heartbeat(200, 5, false, 0)));
        assertEquals(Change.RENEWED, LocalBackend.classify(known, heartbeat(200, 6, false, 0)));
    }

    /** Guards against new work for a process that had announced its leaving. */
    @Test
    void after_leavingProcessStaysLeavingButItsSuccessorDoesNot() {
        LocalBackend leaving = after(Optional.empty(), heartbeat(200, 1, true, 0));
        LocalBackend again = after(Optional.of(leaving), heartbeat(200, 2, false, 0));
        assertTrue(again.leaving());
        assertFalse(after(Optional.of(again), heartbeat(300, 1, false, 0)).leaving());
    }

    @Test
    void isCold_lastsAsStated() {
        LocalBackend cold = after(Optional.empty(), heartbeat(200, 1, false, 1_000));
        time.advance(Duration.ofMillis(999));
        assertTrue(cold.isCold(time));
        time.advance(Duration.ofMillis(1));
        assertFalse(cold.isCold(time));
    }

    /** Guards against a late farewell of an earlier process under the same id, which would take the present one out. */
    @Test
    void isNamed_earlierProcessOfTheSameId_isFalse() {
        BackendLife present = new BackendLife("b", 200);
        assertFalse(present.isNamed("b", OptionalLong.of(100)));
        assertTrue(present.isNamed("b", OptionalLong.of(200)));
        assertTrue(present.isNamed("b", OptionalLong.empty()));
    }
}
