package io.daisyhoist.mesh.process;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.mesh.store.StoredItem;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class StoreCacheTest {
    private final Simulation simulation = new Simulation();
    private final SimulatedStore store = new SimulatedStore(simulation, new Random(1));
    private final SimulatedStore.Client client = store.client();
    private final Simulation.Process process = simulation.process();
    private final Map<String, String> reportedItems = new TreeMap<>();
    private final Set<Long> responseTimes = new HashSet<>();
    private String failingSubject = "";
    private int failures;
    private int listings;
    private final StoreCache cache = new StoreCache(
            "p/",
            new StoreAccess(client, process, process, new CallbackRunner(() -> failures++)),
            new StoreCache.Listener() {
                @Override
                public void onItem(StoredItem item) {
                    failIfRequested(item.key());
                    reportedItems.put(item.key(), new String(item.value(), StandardCharsets.UTF_8));
                    responseTimes.add(simulation.nowNanos());
                }

                @Override
                public void onDeleted(String key) {
                    failIfRequested(key);
                    reportedItems.remove(key);
                }

                @Override
                public void onSynchronized(ElapsedTimer sentAt) {
                    listings++;
                    failIfRequested("synchronized");
                }

                @Override
                public void onBatch(Runnable changes) {
                    changes.run();
                    failIfRequested("batch");
                }
            });

    private void failIfRequested(String subject) {
        if (subject.equals(failingSubject)) {
            throw new IllegalStateException("requested by the test");
        }
    }

    private void put(String key, String value) {
        store.put(key, value.getBytes(StandardCharsets.UTF_8));
    }

    private void start() {
        cache.reload();
        simulation.runFor(Duration.ofSeconds(1));
    }

    private void runFor(int seconds) {
        simulation.runFor(Duration.ofSeconds(seconds));
    }

    @Test
    void reload_laterChanges_areReported() {
        put("p/a", "1");
        start();
        put("p/a", "2");
        put("other", "x");
        runFor(1);
        assertEquals(Map.of("p/a", "2"), reportedItems);
    }

    /** Guards against a listing that is dropped when the store responds again, whose listener then waits for it for good. */
    @Test
    void restartWatch_whileListingAgain_listingIsReported() {
        start();
        assertEquals(1, listings);
        cache.reload();
        cache.restartWatch();
        runFor(1);
        assertEquals(2, listings);
    }

    /** Guards against a call for each change while a large fleet starts, which costs each daemon its first seconds. */
    @Test
    void continuousChanges_arriveInFewResponses() {
        start();
        int changes = 200;
        for (int i = 1; i <= changes; i++) {
            String value = Integer.toString(i);
            simulation.at(Duration.ofMillis(10 * i), () -> put("p/a", value));
        }
        runFor(3);
        assertEquals(Map.of("p/a", Integer.toString(changes)), reportedItems);
        int expectedResponses = 2_000 / 160;
        assertTrue(responseTimes.size() <= expectedResponses + 5, responseTimes.size() + " responses");
    }

    /** Guards against late changes after a time with many. */
    @Test
    void changeAfterContinuousChanges_arrivesAtOnce() {
        start();
        for (int i = 1; i <= 100; i++) {
            simulation.at(Duration.ofMillis(10 * i), () -> put("p/a", "1"));
        }
        runFor(2);
        put("p/a", "2");
        simulation.runFor(Duration.ofMillis(100));
        assertEquals(Map.of("p/a", "2"), reportedItems);
    }

    /** Guards against missed changes when the store has discarded its history. */
    @Test
    void historyLost_itemsAreListedAgain() {
        start();
        client.setDisconnected(true);
        put("p/a", "1");
        store.discardHistory();
        client.setDisconnected(false);
        runFor(20);
        assertEquals(Map.of("p/a", "1"), reportedItems);
    }

    /** Guards against a watch that hangs forever after an outage. */
    @Test
    void storeDisconnected_changesArriveAfterReconnect() {
        start();
        client.setDisconnected(true);
        runFor(15);
        put("p/a", "1");
        client.setDisconnected(false);
        runFor(20);
        assertEquals(Map.of("p/a", "1"), reportedItems);
    }

    /** Guards against reverting items when an older listing of a peer, or an older event, arrives late. */
    @Test
    void applyListing_olderRevision_changesNothing() {
        put("p/a", "1");
        start();
        List<StoredItem> oldItems = cache.items();
        long oldAsOf = cache.asOf();
        put("p/a", "2");
        runFor(1);
        cache.applyListing(oldItems, oldAsOf);
        assertEquals(Map.of("p/a", "2"), reportedItems);
    }

    /** While the store refuses one daemon, the listing of a peer adds new items and removes deleted ones. */
    @Test
    void applyListing_storeDisconnected_replacesItems() {
        put("p/a", "1");
        start();
        client.setDisconnected(true);
        cache.applyListing(List.of(new StoredItem("p/b", "3".getBytes(StandardCharsets.UTF_8), 50)), 60);
        assertEquals(Map.of("p/b", "3"), reportedItems);
        assertEquals(60, cache.lastChangeRevision());
    }

    /** Guards against a watch that ends silently after an exception in the processing of a change. */
    @ParameterizedTest
    @ValueSource(strings = {"p/odd", "synchronized", "batch"})
    void listenerThrows_laterChangesAreReported(String subject) {
        failingSubject = subject;
        put("p/odd", "1");
        put("p/a", "1");
        start();
        put("p/odd", "2");
        put("p/a", "2");
        runFor(1);
        store.delete("p/odd");
        put("p/b", "3");
        runFor(30);
        put("p/a", "4");
        runFor(1);
        assertEquals("4", reportedItems.get("p/a"));
        assertEquals("3", reportedItems.get("p/b"));
        assertTrue(failures > 0);
    }

    /** Guards against items that stay because the revisions of the restored store are lower than the known ones. */
    @Test
    void reload_afterRestore_followsTheLowerRevisions() {
        store.keepCopies();
        client.setEraListener(era -> process.execute(cache::reload));
        store.put("p/a", "1".getBytes(StandardCharsets.UTF_8));
        cache.reload();
        simulation.runFor(Duration.ofSeconds(2));
        store.put("p/a", "2".getBytes(StandardCharsets.UTF_8));
        store.put("p/b", "2".getBytes(StandardCharsets.UTF_8));
        simulation.runFor(Duration.ofSeconds(1));
        assertEquals(Map.of("p/a", "2", "p/b", "2"), reportedItems);
        store.restore(Duration.ofSeconds(2));
        client.get("p/a");
        simulation.runFor(Duration.ofSeconds(1));
        assertEquals(Map.of("p/a", "1"), reportedItems);
        store.put("p/a", "3".getBytes(StandardCharsets.UTF_8));
        simulation.runFor(Duration.ofSeconds(1));
        assertEquals(Map.of("p/a", "3"), reportedItems);
    }
}
