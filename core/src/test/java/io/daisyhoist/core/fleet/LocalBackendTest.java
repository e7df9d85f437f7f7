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
                new BackendProcessId("b", startedMillis),
                sequence,
                new Endpoint("127.0.0.1", 1000),
                new ServiceName("s"),
                6,
                draining,
                Duration.ofMillis(coldMillis),
                List.of(),
                List.of());
    }

    private LocalBackend afterHeartbeat(Optional<LocalBackend> known, BackendHeartbeat heartbeat) {
        return LocalBackend.afterHeartbeat(known, heartbeat, time);
    }

    /** Guards against a delayed heartbeat of an ended process that replaces the state of the current process. */
    @Test
    void classify_earlierProcessWithSameId_isStale() {
        Optional<LocalBackend> known = Optional.of(afterHeartbeat(Optional.empty(), heartbeat(200, 1, false, 0)));
        assertEquals(Change.STALE, LocalBackend.classify(known, heartbeat(100, 99, false, 0)));
        assertEquals(Change.NEW_PROCESS, LocalBackend.classify(known, heartbeat(300, 1, false, 0)));
    }

    /** Guards against reordered or duplicate heartbeats that replace newer state. */
    @Test
    void classify_earlierSequence_isStale() {
        Optional<LocalBackend> known = Optional.of(afterHeartbeat(Optional.empty(), heartbeat(200, 5, false, 0)));
        assertEquals(Change.STALE, LocalBackend.classify(known, heartbeat(200, 5, false, 0)));
        assertEquals(Change.RENEWED, LocalBackend.classify(known, heartbeat(200, 6, false, 0)));
    }

    /** Guards against new requests to a process that has announced its shutdown, after a heartbeat without the flag. */
    @Test
    void afterHeartbeat_leavingProcess_staysLeavingButNextProcessIsNot() {
        LocalBackend leaving = afterHeartbeat(Optional.empty(), heartbeat(200, 1, true, 0));
        LocalBackend renewed = afterHeartbeat(Optional.of(leaving), heartbeat(200, 2, false, 0));
        assertTrue(renewed.leaving());
        assertFalse(afterHeartbeat(Optional.of(renewed), heartbeat(300, 1, false, 0))
                .leaving());
    }

    @Test
    void isCold_endsAfterReportedTime() {
        LocalBackend cold = afterHeartbeat(Optional.empty(), heartbeat(200, 1, false, 1_000));
        time.advance(Duration.ofMillis(999));
        assertTrue(cold.isCold(time));
        time.advance(Duration.ofMillis(1));
        assertFalse(cold.isCold(time));
    }

    /**
     * Guards against a delayed shutdown notice of an earlier process with the same id that drains the current process.
     */
    @Test
    void matches_earlierProcessWithSameId_isFalse() {
        BackendProcessId current = new BackendProcessId("b", 200);
        assertFalse(current.matches("b", OptionalLong.of(100)));
        assertTrue(current.matches("b", OptionalLong.of(200)));
        assertTrue(current.matches("b", OptionalLong.empty()));
    }
}
