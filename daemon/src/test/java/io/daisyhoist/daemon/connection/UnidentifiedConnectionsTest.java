package io.daisyhoist.daemon.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Load: many connections to the peer port that say nothing, beside those of daemons. */
class UnidentifiedConnectionsTest {
    private static final int CROWD = 100;
    private static final int MAX_KEPT = 32;

    private final UnidentifiedConnections connections = new UnidentifiedConnections(MAX_KEPT);

    private EmbeddedChannel accept() {
        EmbeddedChannel channel = new EmbeddedChannel();
        connections.add(channel);
        return channel;
    }

    @Test
    void crowd_keepsTheNewestAndAllIdentified() {
        EmbeddedChannel daemon = accept();
        connections.remove(daemon);
        List<EmbeddedChannel> crowd = new ArrayList<>();
        for (int i = 0; i < CROWD; i++) {
            crowd.add(accept());
        }
        assertTrue(daemon.isOpen());
        assertEquals(MAX_KEPT, crowd.stream().filter(EmbeddedChannel::isOpen).count());
        assertTrue(crowd.get(CROWD - 1).isOpen());
    }

    @Test
    void noHello_closedAfterTimeout() {
        EmbeddedChannel silent = accept();
        EmbeddedChannel daemon = accept();
        connections.remove(daemon);
        for (EmbeddedChannel channel : List.of(silent, daemon)) {
            channel.advanceTimeBy(5, TimeUnit.SECONDS);
            channel.runScheduledPendingTasks();
        }
        assertFalse(silent.isOpen());
        assertTrue(daemon.isOpen());
    }
}
