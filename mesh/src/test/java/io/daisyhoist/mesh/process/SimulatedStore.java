package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.daisyhoist.mesh.store.ItemPage;
import io.daisyhoist.mesh.store.MetadataStore;
import io.daisyhoist.mesh.store.StoreEra;
import io.daisyhoist.mesh.store.StoreEras;
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
    private static final Duration COPY_INTERVAL = Duration.ofMillis(100);

    /** Copies of the last ten seconds. */
    private static final int MAX_COPIES = 100;

    private final Simulation simulation;
    private final Random random;
    private final Map<String, Stored> items = new TreeMap<>();
    private final Map<Long, Long> leaseEndNanos = new HashMap<>();
    private final Map<Long, Duration> leaseTtls = new HashMap<>();
    private final Deque<Copy> copies = new ArrayDeque<>();
    private final List<StoreEvent> history = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private long revision = 1;
    private long discardedUpTo;
    private long nextLease = 1;
    private boolean down;
    private boolean refusing;
    private boolean leasesPaused;
    private double lostResponseRate;

    private long era;

    /** State at an earlier time, from which the store can be restored. */
    private record Copy(
            long atNanos, Map<String, Stored> items, Map<Long, Long> leases, long revision, long nextLease) {}

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

    /** Some responses are late once copies are kept, so that they arrive in a later era. */
    private Duration responseDelay(Duration networkDelay) {
        boolean late = !copies.isEmpty() && random.nextInt(20) == 0;
        return late ? networkDelay.plusMillis(random.nextInt(900)) : networkDelay;
    }

    /** Begins to keep copies of the last seconds. */
    void keepCopies() {
        era = Math.max(era, 1);
        copies.addLast(new Copy(
                simulation.nowNanos(), new TreeMap<>(items), new HashMap<>(leaseEndNanos), revision, nextLease));
        if (copies.size() > MAX_COPIES) {
            copies.removeFirst();
        }
        simulation.at(COPY_INTERVAL, this::keepCopies);
    }

    /** Replaces the state by a copy of the given age; revisions and lease ids since then are issued again. */
    void restore(Duration age) {
        while (copies.size() > 1 && copies.peekLast().atNanos() > simulation.nowNanos() - age.toNanos()) {
            copies.removeLast();
        }
        Copy copy = copies.peekLast();
        items.clear();
        items.putAll(copy.items());
        leaseEndNanos.clear();
        leaseEndNanos.putAll(copy.leases());
        revision = copy.revision();
        nextLease = copy.nextLease();
        discardHistory();
        watches.clear();
        era++;
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
        private StoreEras eras = new StoreEras();
        private boolean disconnected;
        private Optional<DelayedCommit> delayedCommit = Optional.empty();

        /** Forgets what the process has seen that used this connection before. */
        void restart() {
            eras = new StoreEras();
        }

        void setDisconnected(boolean isDisconnected) {
            disconnected = isDisconnected;
        }

        @Override
        public void setEraListener(Consumer<StoreEra> listener) {
            eras.setListener(listener);
        }

        /** Result with the era in which the store computed it. */
        private record Answer<T>(StoreEra era, T result) {}

        /** Sends a call whose result is made by the decoder unless the response is of an older era. */
        private <T, R> CompletableFuture<R> call(
                boolean write, Supplier<T> action, BiFunction<StoreEra, T, R> decoder) {
            return call(write, () -> new Answer<>(new StoreEra(era), action.get()))
                    .thenApply(answer -> {
                        eras.onResponse(answer.era());
                        return decoder.apply(answer.era(), answer.result());
                    });
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
                    simulation.at(responseDelay(networkDelay), () -> {
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
            return call(false, () -> item(key), (answered, found) -> found.map(answered::with));
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
                            revision),
                    StoreEra::with);
        }

        @Override
        public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, Duration wait) {
            if (eras.isObsolete(afterRevision)) {
                return CompletableFuture.completedFuture(new WatchResult.HistoryLost());
            }
            return watchInEra(prefix, StoreEra.withoutEra(afterRevision), wait).thenApply(answer -> {
                eras.onResponse(answer.era());
                return answer.result() instanceof WatchResult.Changes changes
                                && answer.era().number() == StoreEra.of(afterRevision)
                        ? answer.era().with(changes)
                        : new WatchResult.HistoryLost();
            });
        }

        private CompletableFuture<Answer<WatchResult>> watchInEra(String prefix, long afterRevision, Duration wait) {
            CompletableFuture<Answer<WatchResult>> response = new CompletableFuture<>();
            simulation.at(
                    wait.plusSeconds(1),
                    () -> response.completeExceptionally(new StoreUnavailableException("timeout", false)));
            Runnable sendResponse = () -> {
                if (!down && !disconnected) {
                    response.complete(new Answer<>(new StoreEra(era), changes(prefix, afterRevision)));
                }
            };
            boolean respondNow = afterRevision < discardedUpTo
                    || afterRevision > revision
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
            if (afterRevision < discardedUpTo || afterRevision > revision) {
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
            Optional<TransactionResult> known = eras.resultWithoutCall(transaction);
            if (known.isPresent()) {
                return CompletableFuture.completedFuture(known.get());
            }
            Transaction sent = StoreEra.withoutEra(transaction);
            StoreEra begun = eras.newest();
            boolean writesRangeTable =
                    transaction.writes().stream().anyMatch(write -> write.key().startsWith(FleetState.RANGE_PREFIX));
            if (writesRangeTable && delayedCommit.isPresent()) {
                DelayedCommit delayed = delayedCommit.get();
                delayedCommit = Optional.empty();
                simulation.at(delayed.delay(), () -> apply(sent));
                delayed.onSent().run();
                return new CompletableFuture<>();
            }
            return call(true, () -> apply(sent), (answered, result) -> {
                StoreEras.requireSame(begun, answered);
                return answered.with(result);
            });
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
            Supplier<StoreLease> create = () -> {
                long lease = nextLease++;
                leaseTtls.put(lease, ttl);
                leaseEndNanos.put(lease, simulation.nowNanos() + ttl.toNanos());
                return new StoreLease(lease, ttl);
            };
            return call(true, create, StoreEra::with);
        }

        @Override
        public CompletableFuture<Boolean> renewLease(long leaseInEra) {
            if (eras.isObsolete(leaseInEra)) {
                return CompletableFuture.completedFuture(false);
            }
            long lease = StoreEra.withoutEra(leaseInEra);
            Supplier<Boolean> renew = () -> {
                if (!leaseEndNanos.containsKey(lease)) {
                    return false;
                }
                leaseEndNanos.put(
                        lease, simulation.nowNanos() + leaseTtls.get(lease).toNanos());
                return true;
            };
            return call(false, renew, (answered, renewed) -> {
                StoreEras.requireSame(new StoreEra(StoreEra.of(leaseInEra)), answered);
                return renewed;
            });
        }
    }

    Client client() {
        return new Client();
    }
}
