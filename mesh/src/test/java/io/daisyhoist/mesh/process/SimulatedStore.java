package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import io.daisyhoist.mesh.store.ItemPage;
import io.daisyhoist.mesh.store.MetadataStore;
import io.daisyhoist.mesh.store.StoreEvent;
import io.daisyhoist.mesh.store.StoreLease;
import io.daisyhoist.mesh.store.StoreUnavailableException;
import io.daisyhoist.mesh.store.StoredItem;
import io.daisyhoist.mesh.store.Transaction;
import io.daisyhoist.mesh.store.TransactionResult;
import io.daisyhoist.mesh.store.WatchResult;

/**
 * Linearizable store in simulated time with leases and watches. Simulates discarded history, outages, lost responses,
 * delayed writes and revoked leases.
 */
final class SimulatedStore {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_TRANSACTION_ENTRIES = 32;

    private final Simulation simulation;
    private final Random random;
    private final Map<String, Stored> items = new TreeMap<>();
    private final Map<Long, Long> leaseEndNanos = new HashMap<>();
    private final Map<Long, Duration> leaseTtls = new HashMap<>();
    private final List<StoreEvent> history = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private long revision = 1;
    private long discardedUpTo;
    private long nextLease = 1;
    private boolean down;
    private boolean refusing;
    private boolean leasesPaused;
    private double lostResponseRate;

    private record Stored(StoredItem item, long lease) {}

    private record DelayedCommit(Duration delay, Runnable onSent) {}

    private record Watch(String prefix, long after, Runnable onEvent) {}

    SimulatedStore(Simulation simulation, Random random) {
        this.simulation = simulation;
        this.random = random;
        expireLeases();
    }

    private void expireLeases() {
        if (!(down && leasesPaused)) {
            List.copyOf(leaseEndNanos.keySet()).stream()
                    .filter(lease -> leaseEndNanos.get(lease) <= simulation.nowNanos())
                    .forEach(this::endLease);
        }
        simulation.at(Duration.ofMillis(20), this::expireLeases);
    }

    void endLease(long lease) {
        leaseEndNanos.remove(lease);
        items.values().stream()
                .filter(stored -> stored.lease() == lease)
                .map(stored -> stored.item().key())
                .toList()
                .forEach(this::delete);
    }

    /** Ends the lease of an item before it expires. */
    void revoke(String key) {
        Optional.ofNullable(items.get(key)).ifPresent(stored -> endLease(stored.lease()));
    }

    void put(String key, byte[] value) {
        revision++;
        StoredItem item = new StoredItem(key, value, revision);
        items.put(key, new Stored(item, Transaction.NO_LEASE));
        append(new StoreEvent(key, revision, Optional.of(item)));
    }

    void delete(String key) {
        items.remove(key);
        revision++;
        append(new StoreEvent(key, revision, Optional.empty()));
    }

    private void append(StoreEvent event) {
        history.add(event);
        List<Watch> triggered = watches.stream()
                .filter(watch -> event.key().startsWith(watch.prefix()))
                .toList();
        watches.removeAll(triggered);
        triggered.forEach(watch -> simulation.at(Duration.ZERO, watch.onEvent()));
    }

    void setDown(boolean isDown, boolean pauseLeases) {
        down = isDown;
        leasesPaused = pauseLeases;
    }

    /** Makes the store refuse all calls immediately without applying them. */
    void setRefusing(boolean isRefusing) {
        refusing = isRefusing;
    }

    void setLostResponseRate(double rate) {
        lostResponseRate = rate;
    }

    void discardHistory() {
        discardedUpTo = revision;
        history.clear();
    }

    Optional<StoredItem> item(String key) {
        return Optional.ofNullable(items.get(key)).map(Stored::item);
    }

    /** Connection of one daemon to the store. */
    final class Client implements MetadataStore {
        private boolean disconnected;
        private Optional<DelayedCommit> delayedCommit = Optional.empty();

        void setDisconnected(boolean isDisconnected) {
            disconnected = isDisconnected;
        }

        private <T> CompletableFuture<T> call(boolean write, Supplier<T> action) {
            CompletableFuture<T> response = new CompletableFuture<>();
            simulation.at(
                    CALL_TIMEOUT,
                    () -> response.completeExceptionally(new StoreUnavailableException("timeout", false)));
            Duration networkDelay = Duration.ofMillis(1 + random.nextInt(6));
            simulation.at(networkDelay, () -> {
                if (down || disconnected) {
                    return;
                }
                if (refusing) {
                    response.completeExceptionally(new StoreUnavailableException("busy", true));
                    return;
                }
                boolean applyLate = write && random.nextDouble() < lostResponseRate / 2;
                if (applyLate) {
                    simulation.at(Duration.ofMillis(1_000 + random.nextInt(4_000)), action::get);
                    return;
                }
                T result = action.get();
                boolean responseLost = random.nextDouble() < lostResponseRate;
                if (!responseLost) {
                    simulation.at(networkDelay, () -> {
                        if (!disconnected) {
                            response.complete(result);
                        }
                    });
                }
            });
            return response;
        }

        @Override
        public CompletableFuture<Optional<StoredItem>> get(String key) {
            return call(false, () -> item(key));
        }

        @Override
        public CompletableFuture<ItemPage> list(String prefix, Optional<String> after) {
            return call(
                    false,
                    () -> new ItemPage(
                            items.values().stream()
                                    .map(Stored::item)
                                    .filter(item -> item.key().startsWith(prefix))
                                    .toList(),
                            false,
                            revision));
        }

        @Override
        public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, Duration wait) {
            CompletableFuture<WatchResult> response = new CompletableFuture<>();
            simulation.at(
                    wait.plusSeconds(1),
                    () -> response.completeExceptionally(new StoreUnavailableException("timeout", false)));
            Runnable sendResponse = () -> {
                if (!down && !disconnected) {
                    response.complete(changes(prefix, afterRevision));
                }
            };
            boolean respondNow = afterRevision < discardedUpTo
                    || history.stream().anyMatch(event -> matches(event, prefix, afterRevision));
            if (respondNow) {
                simulation.at(Duration.ofMillis(4), sendResponse);
            } else {
                watches.add(new Watch(prefix, afterRevision, sendResponse));
                simulation.at(wait, sendResponse);
            }
            return response;
        }

        private WatchResult changes(String prefix, long afterRevision) {
            if (afterRevision < discardedUpTo) {
                return new WatchResult.HistoryLost();
            }
            return new WatchResult.Changes(
                    history.stream()
                            .filter(event -> matches(event, prefix, afterRevision))
                            .toList(),
                    revision);
        }

        private static boolean matches(StoreEvent event, String prefix, long afterRevision) {
            return event.revision() > afterRevision && event.key().startsWith(prefix);
        }

        /** Applies the next write of a range table after a delay without a response; the callback runs when it is sent. */
        void delayNextRangeTableCommit(Duration delay, Runnable onSent) {
            delayedCommit = Optional.of(new DelayedCommit(delay, onSent));
        }

        @Override
        public CompletableFuture<TransactionResult> commit(Transaction transaction) {
            boolean writesRangeTable =
                    transaction.writes().stream().anyMatch(write -> write.key().startsWith(FleetState.RANGE_PREFIX));
            if (writesRangeTable && delayedCommit.isPresent()) {
                DelayedCommit delayed = delayedCommit.get();
                delayedCommit = Optional.empty();
                simulation.at(delayed.delay(), () -> apply(transaction));
                delayed.onSent().run();
                return new CompletableFuture<>();
            }
            return call(true, () -> apply(transaction));
        }

        private TransactionResult apply(Transaction transaction) {
            int entries = transaction.conditions().size()
                    + transaction.writes().size()
                    + transaction.deletes().size();
            if (entries > MAX_TRANSACTION_ENTRIES) {
                throw new IllegalArgumentException("transaction with " + entries + " entries");
            }
            boolean conflict = transaction.conditions().stream()
                    .anyMatch(condition -> condition.revision()
                            != item(condition.key()).map(StoredItem::revision).orElse(Transaction.ABSENT));
            if (conflict) {
                return new TransactionResult.Conflict();
            }
            boolean leaseEnded = transaction.writes().stream()
                    .anyMatch(write ->
                            write.lease() != Transaction.NO_LEASE && !leaseEndNanos.containsKey(write.lease()));
            if (leaseEnded) {
                return new TransactionResult.LeaseEnded();
            }
            revision++;
            for (Transaction.Write write : transaction.writes()) {
                StoredItem item = new StoredItem(write.key(), write.value(), revision);
                items.put(write.key(), new Stored(item, write.lease()));
                append(new StoreEvent(write.key(), revision, Optional.of(item)));
            }
            for (String key : transaction.deletes()) {
                if (items.remove(key) != null) {
                    append(new StoreEvent(key, revision, Optional.empty()));
                }
            }
            return new TransactionResult.Committed(revision);
        }

        @Override
        public CompletableFuture<StoreLease> createLease(Duration ttl) {
            return call(true, () -> {
                long lease = nextLease++;
                leaseTtls.put(lease, ttl);
                leaseEndNanos.put(lease, simulation.nowNanos() + ttl.toNanos());
                return new StoreLease(lease, ttl);
            });
        }

        @Override
        public CompletableFuture<Boolean> renewLease(long lease) {
            return call(false, () -> {
                if (!leaseEndNanos.containsKey(lease)) {
                    return false;
                }
                leaseEndNanos.put(
                        lease, simulation.nowNanos() + leaseTtls.get(lease).toNanos());
                return true;
            });
        }
    }

    Client client() {
        return new Client();
    }
}
