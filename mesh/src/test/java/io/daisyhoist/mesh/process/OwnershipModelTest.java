package io.daisyhoist.mesh.process;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import io.daisyhoist.core.keyrange.HeldRange;
import io.daisyhoist.core.keyrange.KeyRange;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.wire.proto.Envelope;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Runs random histories of daemons, backend servers and the store in simulated time and checks exclusive key ownership.
 * {@code -Ddaisyhoist.model.seed=N} runs a single seed, {@code -Ddaisyhoist.model.histories=N} sets the number of histories.
 */
class OwnershipModelTest {
    private static final int INSTANCES = 4;

    /** Distance between sampled keys. */
    private static final int KEY_STEP = 4_093;

    private static final Duration STEP = Duration.ofMillis(25);

    private static final Duration HOT_KEY_INTERVAL = Duration.ofSeconds(6);

    /** Fault-free time after which every key must have a holder again. */
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(20);

    /** One history: a fleet, its store, and the holders observed so far. */
    private static final class History {
        private final Random random;
        private final Simulation simulation = new Simulation();
        private final SimulatedStore store;
        private final List<SimulatedInstance> instances = new ArrayList<>();
        private final Map<Integer, HeldRange> lastHeldRanges = new HashMap<>();
        private final Map<Integer, String> lastHolders = new HashMap<>();
        private final List<String> faults = new ArrayList<>();
        private boolean generatingRequests = true;

        private History(long seed) {
            this(seed, INSTANCES);
        }

        private History(long seed, int instanceCount) {
            random = new Random(seed);
            store = new SimulatedStore(simulation, random);
            store.put("operators/config", "1".getBytes(StandardCharsets.UTF_8));
            for (int i = 0; i < instanceCount; i++) {
                instances.add(new SimulatedInstance(simulation, store, new SingleServiceDocuments(), i, this::deliver));
            }
            generateRequests();
        }

        private void deliver(DaemonId receiver, Envelope message) {
            instances.stream()
                    .filter(instance -> instance.daemon().equals(receiver))
                    .filter(instance -> !instance.process().isKilled())
                    .forEach(instance -> simulation.at(Duration.ofMillis(1), () -> instance.receive(message)));
        }

        /** Generates requests for hot keys that change periodically, so that ranges move continuously. */
        private void generateRequests() {
            int hot = (int) (simulation.nowNanos() / HOT_KEY_INTERVAL.toNanos()) * 7_919 % KeyRange.MAX_KEY;
            int key = (hot + random.nextInt(2_000)) % KeyRange.MAX_KEY;
            instances.forEach(instance -> instance.recordRequest(key, Duration.ofMillis(120)));
            if (generatingRequests) {
                simulation.at(Duration.ofMillis(20), this::generateRequests);
            }
        }

        private void run(Duration span) {
            for (Duration done = Duration.ZERO; done.compareTo(span) < 0; done = done.plus(STEP)) {
                simulation.runFor(STEP);
                check();
            }
        }

        /** Checks that no key has two holders and that sampled keys change holder only with a higher fencing token. */
        private void check() {
            for (int i = 0; i < instances.size(); i++) {
                for (int j = i + 1; j < instances.size(); j++) {
                    checkDisjoint(instances.get(i), instances.get(j));
                }
            }
            for (int key = 0; key <= KeyRange.MAX_KEY; key += KEY_STEP) {
                for (SimulatedInstance instance : instances) {
                    checkToken(key, heldBy(instance, key), instance.daemon().name());
                }
            }
        }

        private void checkDisjoint(SimulatedInstance one, SimulatedInstance other) {
            for (HeldRange held : heldRanges(one)) {
                boolean doublyHeld = heldRanges(other).stream()
                        .anyMatch(range -> range.range().overlaps(held.range()));
                assertFalse(
                        doublyHeld,
                        "keys " + held.range() + " have two holders, " + one.daemon() + " and " + other.daemon()
                                + " after " + faults);
            }
        }

        private static List<HeldRange> heldRanges(SimulatedInstance instance) {
            return instance.backend().map(SimulatedInstance.Backend::heldRanges).orElse(List.of());
        }

        private void checkToken(int key, Optional<HeldRange> found, String holder) {
            if (found.isEmpty()) {
                return;
            }
            HeldRange last = lastHeldRanges.get(key);
            if (last != null && !holder.equals(lastHolders.get(key))) {
                assertTrue(
                        found.get().fence() > last.fence(),
                        "token of key " + key + " did not increase after " + faults);
            }
            lastHeldRanges.put(key, found.get());
            lastHolders.put(key, holder);
        }

        private static Optional<HeldRange> heldBy(SimulatedInstance instance, int key) {
            return instance.backend().stream()
                    .flatMap(backend -> backend.heldRanges().stream())
                    .filter(held -> held.range().contains(key))
                    .findFirst();
        }

        private long unheldKeys() {
            long unheld = 0;
            for (int key = 0; key <= KeyRange.MAX_KEY; key += KEY_STEP) {
                int sample = key;
                boolean held = instances.stream()
                        .anyMatch(instance -> heldBy(instance, sample).isPresent());
                unheld += held ? 0 : 1;
            }
            return unheld;
        }

        private SimulatedInstance randomInstance() {
            return instances.get(random.nextInt(instances.size()));
        }

        private Duration randomSeconds(int min, int max) {
            return Duration.ofMillis(1_000L * min + random.nextInt(1_000 * (max - min) + 1));
        }

        private void injectFault(int kinds) {
            SimulatedInstance target = randomInstance();
            int kind = random.nextInt(kinds);
            faults.add(simulation.nowNanos() / 1_000_000 + ":" + kind + "@" + target.daemon());
            switch (kind) {
                case 0 -> {
                    loseResponses();
                    restartDaemon(target);
                }
                case 1 -> target.process().freeze(randomSeconds(1, 14), false);
                case 2 -> target.process().freeze(randomSeconds(1, 14), true);
                case 3 -> disconnectFromStore(target);
                case 4 -> outage(true);
                case 5 -> outage(false);
                case 6 -> store.revoke(FleetState.memberKey(target.daemon()));
                case 7 -> loseResponses();
                case 8 -> restartBackend(target);
                case 9 -> suspendHeartbeats(target);
                case 10 -> store.discardHistory();
                case 11 -> restartDaemonWithoutStore(target);
                default -> disconnectAndForget(target);
            }
        }

        private void restartDaemon(SimulatedInstance target) {
            target.killDaemon();
            simulation.at(randomSeconds(1, 12), () -> {
                if (target.process().isKilled()) {
                    target.startDaemon();
                }
            });
        }

        private void disconnectFromStore(SimulatedInstance target) {
            target.store().setDisconnected(true);
            if (random.nextBoolean()) {
                store.revoke(FleetState.memberKey(target.daemon()));
            }
            simulation.at(randomSeconds(1, 20), () -> target.store().setDisconnected(false));
        }

        /** The store rejects the daemon before and after its restart, so that it has seen nothing when it is served again. */
        private void restartDaemonWithoutStore(SimulatedInstance target) {
            disconnectFromStore(target);
            restartDaemon(target);
        }

        /** The daemon cannot read what has happened while it was disconnected, only the resulting state. */
        private void disconnectAndForget(SimulatedInstance target) {
            target.store().setDisconnected(true);
            simulation.at(randomSeconds(1, 14), () -> {
                store.discardHistory();
                target.store().setDisconnected(false);
            });
        }

        private void rejectByStore(SimulatedInstance target) {
            target.store().setDisconnected(true);
            store.revoke(FleetState.memberKey(target.daemon()));
        }

        private void outage(boolean pauseLeases) {
            store.setDown(true, pauseLeases);
            simulation.at(randomSeconds(1, 16), () -> store.setDown(false, false));
        }

        private void loseResponses() {
            store.setLostResponseRate(0.4);
            simulation.at(randomSeconds(1, 6), () -> store.setLostResponseRate(0));
        }

        private void restartBackend(SimulatedInstance target) {
            target.crashBackend();
            simulation.at(randomSeconds(0, 12), () -> {
                if (target.backend().isEmpty()) {
                    target.startBackend();
                }
            });
        }

        private void suspendHeartbeats(SimulatedInstance target) {
            target.backend().ifPresent(backend -> {
                backend.setHeartbeatsSuspended(true);
                simulation.at(randomSeconds(1, 14), () -> backend.setHeartbeatsSuspended(false));
            });
        }
    }

    private static void runHistory(long seed, int faultKinds) {
        try {
            History history = new History(seed);
            history.run(Duration.ofSeconds(8));
            for (int i = 0; i < 5; i++) {
                history.injectFault(faultKinds);
                history.run(history.randomSeconds(0, 9));
            }
            history.run(Duration.ofSeconds(20));
            history.generatingRequests = false;
            history.run(RECOVERY_TIME);
            assertEquals(0, history.unheldKeys(), "keys without a holder after " + history.faults);
        } catch (AssertionError e) {
            throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
        }
    }

    @Nested
    class RandomHistories {
        /** Guards against two holders of a key, decreasing fencing tokens, and keys that remain without a holder. */
        @Test
        void histories_neverTwoHoldersAndAllKeysHeldAtEnd() {
            runHistories(11);
        }

        /** Guards against a takeover by a daemon that counts time in which it could not see the store as absence. */
        @Test
        void historiesWithUnseenChanges_neverTwoHoldersAndAllKeysHeldAtEnd() {
            runHistories(13);
        }

        /** Guards against a daemon that grants no keys any more because a listing was dropped after its registration. */
        @Test
        void historiesWithInterruptedListing_allKeysHeldAtEnd() {
            runHistory(378, 11);
            runHistory(751, 13);
        }

        private void runHistories(int faultKinds) {
            Long seed = Long.getLong("daisyhoist.model.seed");
            if (seed != null) {
                runHistory(seed, faultKinds);
                return;
            }
            int histories = Integer.getInteger("daisyhoist.model.histories", 40);
            for (int i = 1; i <= histories; i++) {
                runHistory(i, faultKinds);
            }
        }
    }

    @Nested
    class SpecificFaults {
        private final History history = new History(1);

        @BeforeEach
        void stopRequests() {
            history.generatingRequests = false;
        }

        /** Guards against requiring a majority of the daemons to reassign keys. */
        @Test
        void allButOneLost_lastHoldsAllKeys() {
            history.run(Duration.ofSeconds(8));
            assertEquals(0, history.unheldKeys());
            history.instances.subList(1, INSTANCES).forEach(lost -> {
                lost.killDaemon();
                lost.crashBackend();
            });
            history.run(Duration.ofSeconds(16));
            assertEquals(0, history.unheldKeys());
        }

        /** Guards against a takeover by a daemon that started while the store rejected it and so has seen no registration. */
        @Test
        void daemonStartedWithoutStore_doesNotTakeKeysThatAreStillGranted() {
            SimulatedInstance restarted = history.instances.get(0);
            SimulatedInstance rejectedLater = history.instances.get(2);
            history.run(Duration.ofSeconds(8));
            history.rejectByStore(restarted);
            restarted.killDaemon();
            history.run(Duration.ofMillis(500));
            restarted.startDaemon();
            history.run(Duration.ofMillis(5_500));
            history.rejectByStore(rejectedLater);
            history.run(Duration.ofSeconds(3));
            restarted.store().setDisconnected(false);
            history.run(Duration.ofSeconds(6));
            rejectedLater.store().setDisconnected(false);
            history.run(RECOVERY_TIME);
            assertEquals(0, history.unheldKeys());
        }

        /** Guards against counting an absence from before a registration that was renewed unseen. */
        @Test
        void renewedRegistrationNotSeen_absenceIsCountedAnew() {
            SimulatedInstance observer = history.instances.get(0);
            SimulatedInstance absent = history.instances.get(2);
            history.run(Duration.ofSeconds(8));
            history.rejectByStore(absent);
            history.run(Duration.ofMillis(500));
            observer.store().setDisconnected(true);
            history.run(Duration.ofMillis(500));
            absent.store().setDisconnected(false);
            history.run(Duration.ofSeconds(7));
            history.rejectByStore(absent);
            history.store.discardHistory();
            observer.store().setDisconnected(false);
            history.run(Duration.ofSeconds(6));
            absent.store().setDisconnected(false);
            history.run(RECOVERY_TIME);
            assertEquals(0, history.unheldKeys());
        }

        /** Guards against a takeover that needs more conditions than the store accepts in one transaction. */
        @Test
        void manyDaemonsLost_keysAreTakenOver() {
            History fleet = new History(1, 40);
            fleet.generatingRequests = false;
            fleet.run(Duration.ofSeconds(12));
            assertEquals(0, fleet.unheldKeys());
            fleet.instances.subList(1, 40).forEach(lost -> {
                lost.killDaemon();
                lost.crashBackend();
            });
            fleet.run(Duration.ofSeconds(20));
            assertEquals(0, fleet.unheldKeys());
        }

        /** Guards against a restart of all daemons that has to wait until leases expire. */
        @Test
        void allDaemonsRestartedAtOnce_keysAreKept() {
            history.run(Duration.ofSeconds(8));
            history.instances.forEach(SimulatedInstance::killDaemon);
            history.run(Duration.ofSeconds(1));
            history.instances.forEach(SimulatedInstance::startDaemon);
            history.run(Duration.ofSeconds(3));
            assertEquals(0, history.unheldKeys());
        }

        /** Guards against a move of an ended process that the store applies after its successor has granted the keys. */
        @Test
        void daemonKilledDuringMove_keysAreNotHeldTwice() {
            for (int seed = 1; seed <= 12; seed++) {
                killDuringMove(new History(seed));
            }
        }

        private void killDuringMove(History fleet) {
            fleet.run(Duration.ofSeconds(8));
            boolean[] killed = new boolean[1];
            fleet.instances.forEach(instance -> instance.store()
                    .delayNextRangeTableCommit(Duration.ofSeconds(4), () -> {
                        if (!killed[0]) {
                            killed[0] = true;
                            fleet.generatingRequests = false;
                            instance.killDaemon();
                            fleet.simulation.at(Duration.ofMillis(300), instance::startDaemon);
                        }
                    }));
            fleet.run(Duration.ofSeconds(12));
            assertTrue(killed[0], "no move was sent");
            fleet.run(RECOVERY_TIME);
            assertEquals(0, fleet.unheldKeys());
        }

        /** Guards against keys that lose their holder during an outage of the store of a few seconds. */
        @Test
        void storeDownForSixSeconds_noKeyLosesItsHolder() {
            history.run(Duration.ofSeconds(8));
            history.store.setDown(true, false);
            for (int i = 0; i < 12; i++) {
                history.run(Duration.ofMillis(500));
                assertEquals(0, history.unheldKeys());
            }
            history.store.setDown(false, false);
            history.run(Duration.ofSeconds(3));
            assertEquals(0, history.unheldKeys());
        }

        /** Guards against keys that are not granted during a move that cannot be committed while the store refuses calls. */
        @Test
        void storeRefusesCallsDuringMove_keysAreGrantedAgain() {
            for (int seed = 1; seed <= 12; seed++) {
                History fleet = new History(seed);
                fleet.run(Duration.ofMillis(7_000 + 250L * seed));
                fleet.store.setRefusing(true);
                fleet.run(Duration.ofSeconds(5));
                assertEquals(0, fleet.unheldKeys(), "seed " + seed);
            }
        }
    }
}
