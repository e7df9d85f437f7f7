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

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** One random history: a fleet, its store, and the holders observed so far. */
final class OwnershipHistory {
    static final int INSTANCES = 4;

    /** Distance between sampled keys. */
    private static final int KEY_STEP = 4_093;

    private static final Duration STEP = Duration.ofMillis(25);
    private static final Duration HOT_KEY_INTERVAL = Duration.ofSeconds(6);

    final Random random;
    final Simulation simulation = new Simulation();
    final SimulatedStore store;
    final List<SimulatedInstance> instances = new ArrayList<>();
    private final Map<Integer, HeldRange> lastHeldRanges = new HashMap<>();
    private final Map<Integer, String> lastHolders = new HashMap<>();
    final List<String> faults = new ArrayList<>();
    private boolean generatingRequests = true;

    OwnershipHistory(long seed) {
        this(seed, INSTANCES);
    }

    OwnershipHistory(long seed, int instanceCount) {
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

    /** Ends the generated load, so that no further keys move for it. */
    void stopRequests() {
        generatingRequests = false;
    }

    void run(Duration span) {
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
            boolean doublyHeld =
                    heldRanges(other).stream().anyMatch(range -> range.range().overlaps(held.range()));
            assertFalse(
                    doublyHeld,
                    "keys " + held.range() + " have two holders, " + one.daemon() + " and " + other.daemon() + " after "
                            + faults);
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
            assertTrue(found.get().fence() > last.fence(), "token of key " + key + " did not increase after " + faults);
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

    long unheldKeys() {
        long unheld = 0;
        for (int key = 0; key <= KeyRange.MAX_KEY; key += KEY_STEP) {
            int sample = key;
            boolean held = instances.stream()
                    .anyMatch(instance -> heldBy(instance, sample).isPresent());
            unheld += held ? 0 : 1;
        }
        return unheld;
    }

    SimulatedInstance randomInstance() {
        return instances.get(random.nextInt(instances.size()));
    }

    Duration randomSeconds(int min, int max) {
        return Duration.ofMillis(1_000L * min + random.nextInt(1_000 * (max - min) + 1));
    }

    void injectFault(int kinds) {
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

    /** Makes the store unavailable for a moment and restores it from an older copy; returns the length of the outage. */
    Duration restoreStore() {
        Duration age = randomSeconds(0, 6);
        Duration outage = randomSeconds(0, 3);
        faults.add(simulation.nowNanos() / 1_000_000 + ":restored " + age.toMillis() + " after " + outage.toMillis());
        store.setDown(true, random.nextBoolean());
        simulation.at(outage, () -> {
            store.restore(age);
            store.setDown(false, false);
        });
        return outage;
    }

    /** Injects a fault that does not prevent all keys from being held again soon. */
    void injectShortFault() {
        SimulatedInstance target = randomInstance();
        int kind = random.nextInt(6);
        faults.add(simulation.nowNanos() / 1_000_000 + ":short " + kind + "@" + target.daemon());
        switch (kind) {
            case 0 -> {
                target.killDaemon();
                simulation.at(randomSeconds(0, 3), target::startDaemon);
            }
            case 1 -> {
                target.killDaemon();
                target.crashBackend();
            }
            case 2 -> rejectByStore(target);
            case 3 -> {
                target.crashBackend();
                simulation.at(randomSeconds(0, 3), target::startBackend);
            }
            case 4 -> store.discardHistory();
            default -> loseResponses();
        }
    }

    void restartDaemon(SimulatedInstance target) {
        target.killDaemon();
        simulation.at(randomSeconds(1, 12), () -> {
            if (target.process().isKilled()) {
                target.startDaemon();
            }
        });
    }

    void disconnectFromStore(SimulatedInstance target) {
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

    void rejectByStore(SimulatedInstance target) {
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
