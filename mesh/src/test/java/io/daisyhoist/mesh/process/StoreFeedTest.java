package io.daisyhoist.mesh.process;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.mesh.store.StoredItem;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class StoreFeedTest {
    private final Simulation simulation = new Simulation();
    private final SimulatedStore store = new SimulatedStore(simulation, new Random(1));
    private final SimulatedStore.Client client = store.client();
    private final Simulation.Process process = simulation.process();
    private final Map<String, String> seen = new TreeMap<>();
    private final StoreFeed feed = new StoreFeed("p/", client, process, process, new StoreFeed.Listener() {
        @Override
        public void onItem(StoredItem item) {
            seen.put(item.key(), new String(item.value(), StandardCharsets.UTF_8));
        }

        @Override
        public void onDeleted(String key) {
            seen.remove(key);
        }

        @Override
        public void onSynchronized(ElapsedTimer sentAt) {
            // Not needed here.
        }
    });

    private void put(String key, String value) {
        store.put(key, value.getBytes(StandardCharsets.UTF_8));
    }

    private void start() {
        feed.reload();
        simulation.runFor(Duration.ofSeconds(1));
    }

    private void runFor(int seconds) {
        simulation.runFor(Duration.ofSeconds(seconds));
    }

    @Test
    void changes_areFollowed() {
        put("p/a", "1");
        start();
        put("p/a", "2");
        put("other", "x");
        runFor(1);
        assertEquals(Map.of("p/a", "2"), seen);
    }

    /** Guards against changes that are missed because the store has dropped its history. */
    @Test
    void historyLost_itemsAreReadAgain() {
        start();
        client.setCut(true);
        put("p/a", "1");
        store.forgetHistory();
        client.setCut(false);
        runFor(20);
        assertEquals(Map.of("p/a", "1"), seen);
    }

    /** Guards against a watch that hangs for good after an outage. */
    @Test
    void storeCut_changesArriveAfterItsReturn() {
        start();
        client.setCut(true);
        runFor(15);
        put("p/a", "1");
        client.setCut(false);
        runFor(20);
        assertEquals(Map.of("p/a", "1"), seen);
    }

    /** Guards against a configuration that goes back because a peer's older copy, or an older event, comes late. */
    @Test
    void copies_neverMoveTheFeedBack() {
        put("p/a", "1");
        start();
        List<StoredItem> old = feed.items();
        long oldAsOf = feed.asOf();
        put("p/a", "2");
        runFor(1);
        feed.applyCopy(old, oldAsOf);
        assertEquals(Map.of("p/a", "2"), seen);
    }

    /** Answers a store that turns one daemon away: its peers' copy brings what is new and removes what is gone. */
    @Test
    void copies_replaceTheStoreWhileItIsCut() {
        put("p/a", "1");
        start();
        client.setCut(true);
        feed.applyCopy(List.of(new StoredItem("p/b", "3".getBytes(StandardCharsets.UTF_8), 50)), 60);
        assertEquals(Map.of("p/b", "3"), seen);
        assertEquals(60, feed.lastChange());
    }
}
