package io.daisyhoist.core.client;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.client.ConnectionState.Phase;
import io.daisyhoist.core.route.ClientLimits;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Load: a crowd that opens connections, and holds memory without making progress, beside ordinary clients. */
class ConnectionTableTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final ClientLimits LIMITS =
            new ClientLimits(16_384, 1 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
    private static final ConnectionBounds BOUNDS = new ConnectionBounds(100, 1_000, 256, 4, 3);

    private final ConnectionTable table = new ConnectionTable(BOUNDS);

    private ConnectionState open(String address, Phase phase, long heldBytes) {
        ConnectionState connection = new ConnectionState(address, 0);
        connection.enter(phase, 0);
        connection.addHeldBytes(heldBytes);
        table.add(connection);
        return connection;
    }

    @Nested
    class Excess {
        @Test
        void withinBounds_none() {
            open("a", Phase.IDLE, 0);
            assertEquals(Optional.empty(), table.excess(open("a", Phase.IDLE, 0), SECOND));
        }

        /** Guards against ending a request that a backend server may be running. */
        @Test
        void runningRequests_areKept() {
            for (int i = 0; i < 3; i++) {
                open("a", Phase.RUNNING, 1_000);
            }
            ConnectionState newest = open("a", Phase.IDLE, 0);
            assertEquals(Optional.of(newest), table.excess(newest, SECOND));
        }

        /** Guards against a crowd that takes no byte of its responses and keeps all connections of an address. */
        @Test
        void responseNotTaken_isGivenUp() {
            open("a", Phase.RUNNING, 0);
            open("a", Phase.RUNNING, 0);
            ConnectionState stalled = open("a", Phase.RUNNING, 0);
            stalled.onUnwrittenBytes(1_000, 0);
            ConnectionState newest = open("a", Phase.IDLE, 0);
            assertEquals(Optional.of(newest), table.excess(newest, SECOND));
            assertEquals(Optional.of(stalled), table.excess(newest, 2 * SECOND));
        }

        /** Guards against a crowd that never sends a request and takes the connections of clients that were served. */
        @Test
        void servedIdleConnections_areGivenUpLast() {
            ConnectionState served = open("a", Phase.RUNNING, 0);
            served.enter(Phase.IDLE, 0);
            ConnectionState headWithoutEnd = open("a", Phase.HEAD, 0);
            open("a", Phase.RUNNING, 0);
            assertEquals(Optional.of(headWithoutEnd), table.excess(open("a", Phase.IDLE, SECOND), SECOND));
        }

        /** Guards against one address that takes the connections of the others. */
        @Test
        void tooManyAltogether_addressWithMostGivesUp() {
            ConnectionState first = open("a", Phase.IDLE, 0);
            open("a", Phase.IDLE, 0);
            open("b", Phase.IDLE, 0);
            open("c", Phase.IDLE, 0);
            assertEquals(Optional.of(first), table.excess(open("d", Phase.IDLE, 0), SECOND));
        }
    }

    @Nested
    class Memory {
        @Test
        void heaviest_isTheOneThatMovesLeast() {
            ConnectionState moving = open("a", Phase.BODY, 2_000);
            ConnectionState stalled = open("a", Phase.BODY, 1_000);
            open("a", Phase.RUNNING, 9_000);
            moving.onBytes(10, 9 * SECOND);
            assertEquals(Optional.of(stalled), table.heaviest(9 * SECOND));
        }

        /** Guards against responses that nobody reads and that keep the memory for all other requests. */
        @Test
        void responseNotTaken_isGivenUpForMemory() {
            ConnectionState stalled = open("a", Phase.RUNNING, 100);
            stalled.onUnwrittenBytes(1_000, 0);
            assertEquals(Optional.empty(), table.heaviest(SECOND));
            assertEquals(Optional.of(stalled), table.heaviest(2 * SECOND));
            stalled.enter(Phase.REFUSED, 2 * SECOND);
            assertEquals(Optional.empty(), table.heaviest(2 * SECOND));
        }

        @Test
        void requestThatMayHaveBeenSent_isKept() {
            open("a", Phase.BODY, 1_000).onSent();
            assertEquals(Optional.empty(), table.heaviest(SECOND));
        }
    }

    @Nested
    class Times {
        private ConnectionState connection = new ConnectionState("a", 0);

        private Optional<CloseReason> exceeded(long seconds) {
            connection.exceeded(LIMITS, BOUNDS, seconds * SECOND);
            return connection.exceeded(LIMITS, BOUNDS, seconds * SECOND);
        }

        /** Ordinary clients reuse connections that were idle for up to four fifths of the idle timeout. */
        @Test
        void idleConnection_closedAfterIdleTimeout() {
            assertEquals(Optional.empty(), exceeded(12));
            assertEquals(Optional.of(CloseReason.IDLE), exceeded(16));
        }

        /** Guards against a late event loop that ends a connection whose bytes it has not read yet. */
        @Test
        void firstCheckAfterDelay_closesNothing() {
            assertEquals(Optional.empty(), connection.exceeded(LIMITS, BOUNDS, 20 * SECOND));
            connection.enter(Phase.HEAD, 20 * SECOND);
            assertEquals(Optional.empty(), connection.exceeded(LIMITS, BOUNDS, 20 * SECOND));
        }

        @Test
        void runningRequest_isNotIdle() {
            connection.enter(Phase.RUNNING, 0);
            assertEquals(Optional.empty(), exceeded(100));
        }

        @Test
        void headWithoutEnd_times() {
            connection.enter(Phase.HEAD, 0);
            connection.onBytes(1, 4 * SECOND);
            assertEquals(Optional.of(CloseReason.HEAD_TIMEOUT), exceeded(4));
        }

        /** A body that keeps its least rate has no time limit, as a legal one may take minutes on a slow link. */
        @Test
        void body_belowLeastRate() {
            connection.enter(Phase.BODY, 0);
            connection.onBytes(256 * 16, SECOND);
            assertEquals(Optional.empty(), exceeded(16));
            connection.onBytes(256, 17 * SECOND);
            assertEquals(Optional.of(CloseReason.BODY_TIMEOUT), exceeded(32));
        }

        /** Guards against a client that is refused as slow while the daemon does not read it. */
        @Test
        void bodyThatWaitsForMemory_isNotSlow() {
            connection.enter(Phase.BODY, 0);
            connection.onPause(true, 15 * SECOND);
            assertEquals(Optional.empty(), exceeded(17));
            assertEquals(Optional.of(CloseReason.MEMORY), exceeded(19));
        }

        @Test
        void slowReader_closedWhenItTakesNothing() {
            connection.enter(Phase.RUNNING, 0);
            connection.onUnwrittenBytes(100, 0);
            connection.onUnwrittenBytes(90, 10 * SECOND);
            assertEquals(Optional.empty(), exceeded(20));
            assertEquals(Optional.of(CloseReason.RESPONSE_STALLED), exceeded(26));
        }
    }
}
