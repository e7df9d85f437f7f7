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
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.route.ClientLimits;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.route.RouteTable;
import io.daisyhoist.core.route.ServicePolicy;
import io.daisyhoist.mesh.store.OperatorDocuments;
import io.daisyhoist.mesh.store.StoredItem;
import io.daisyhoist.wire.proto.Envelope;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Random histories of daemons, backend servers and the store in simulated time. {@code -Ddaisyhoist.model.seed=N} runs one
 * seed, {@code -Ddaisyhoist.model.histories=N} more of them.
 */
class OwnershipModelTest {
    private static final int INSTANCES = 4;

    /** Distance between the keys that are checked. */
    private static final int KEY_STEP = 4_093;

    private static final Duration STEP = Duration.ofMillis(25);

    private static final Duration HOT_KEY_SPAN = Duration.ofSeconds(6);

    /** Longest time without faults after which every key has to be held again. */
    private static final Duration HEALING = Duration.ofSeconds(20);

    /** Reads the one document that the histories need. */
    private static final class Documents implements OperatorDocuments {
        @Override
        public String prefix() {
            return "operators/";
        }

        @Override
        public Optional<Document> read(StoredItem item) {
            ServicePolicy policy = new ServicePolicy(SimulatedInstance.SERVICE, true, Duration.ofSeconds(3), 14, 110);
            Map<ServiceName, ServicePolicy> services = Map.of(SimulatedInstance.SERVICE, policy);
            return Optional.of(
                    new Configuration(new FleetConfig(1, new RouteTable(List.of()), services, ClientLimits.DEFAULT)));
        }

        @Override
        public Optional<AvailabilityZone> evacuatedZone(String key) {
            return Optional.empty();
        }
    }

    /** One history: a fleet, its store and what a checker outside has seen. */
    private static final class History {
        private final Random random;
        private final Simulation simulation = new Simulation();
        private final SimulatedStore store;
        private final List<SimulatedInstance> instances = new ArrayList<>();
        private final Map<Integer, HeldRange> lastHolds = new HashMap<>();
        private final Map<Integer, String> lastHolders = new HashMap<>();
        private final List<String> faults = new ArrayList<>();
        private boolean working = true;

        private History(long seed) {
            random = new Random(seed);
            store = new SimulatedStore(simulation, random);
            store.put("operators/config", "1".getBytes(StandardCharsets.UTF_8));
            for (int i = 0; i < INSTANCES; i++) {
                instances.add(new SimulatedInstance(simulation, store, new Documents(), i, this::deliver));
            }
            work();
        }

        private void deliver(DaemonId receiver, Envelope message) {
            instances.stream()
                    .filter(instance -> instance.daemon().equals(receiver))
                    .filter(instance -> !instance.process().isKilled())
                    .forEach(instance -> simulation.at(Duration.ofMillis(1), () -> instance.receive(message)));
        }

        /** Requests for a few hot keys that change now and then, so that ranges move all the time. */
        private void work() {
            int hot = (int) (simulation.nowNanos() / HOT_KEY_SPAN.toNanos()) * 7_919 % KeyRange.MAX_KEY;
            int key = (hot + random.nextInt(2_000)) % KeyRange.MAX_KEY;
            instances.forEach(instance -> instance.work(key, Duration.ofMillis(120)));
            if (working) {
                simulation.at(Duration.ofMillis(20), this::work);
            }
        }

        private void run(Duration span) {
            for (Duration done = Duration.ZERO; done.compareTo(span) < 0; done = done.plus(STEP)) {
                simulation.runFor(STEP);
                check();
            }
        }

        /** No key is held by two backend servers, and sample keys change hands only under higher tokens. */
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
            for (HeldRange held : holds(one)) {
                boolean doubled =
                        holds(other).stream().anyMatch(range -> range.range().overlaps(held.range()));
                assertFalse(
                        doubled,
                        "keys " + held.range() + " held twice, by " + one.daemon() + " and " + other.daemon()
                                + " after " + faults);
            }
        }

        private static List<HeldRange> holds(SimulatedInstance instance) {
            return instance.backend().map(SimulatedInstance.Backend::holds).orElse(List.of());
        }

        private void checkToken(int key, Optional<HeldRange> found, String holder) {
            if (found.isEmpty()) {
                return;
            }
            HeldRange last = lastHolds.get(key);
            if (last != null && !holder.equals(lastHolders.get(key))) {
                assertTrue(found.get().fence() > last.fence(), "token of key " + key + " did not rise after " + faults);
            }
            lastHolds.put(key, found.get());
            lastHolders.put(key, holder);
        }

        private static Optional<HeldRange> heldBy(SimulatedInstance instance, int key) {
            return instance.backend().stream()
                    .flatMap(backend -> backend.holds().stream())
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

        private SimulatedInstance any() {
            return instances.get(random.nextInt(instances.size()));
        }

        private Duration seconds(int least, int most) {
            return Duration.ofMillis(1_000L * least + random.nextInt(1_000 * (most - least) + 1));
        }

        private void injectFault() {
            SimulatedInstance victim = any();
            int kind = random.nextInt(11);
            faults.add(simulation.nowNanos() / 1_000_000 + ":" + kind + "@" + victim.daemon());
            switch (kind) {
                case 0 -> {
                    loseAnswers();
                    restartDaemon(victim);
                }
                case 1 -> victim.process().freeze(seconds(1, 14), false);
                case 2 -> victim.process().freeze(seconds(1, 14), true);
                case 3 -> cut(victim);
                case 4 -> outage(true);
                case 5 -> outage(false);
                case 6 -> store.revoke(FleetState.memberKey(victim.daemon()));
                case 7 -> loseAnswers();
                case 8 -> restartBackend(victim);
                case 9 -> silence(victim);
                default -> store.forgetHistory();
            }
        }

        private void restartDaemon(SimulatedInstance victim) {
            victim.killDaemon();
            simulation.at(seconds(1, 12), () -> {
                if (victim.process().isKilled()) {
                    victim.startDaemon();
                }
            });
        }

        private void cut(SimulatedInstance victim) {
            victim.store().setCut(true);
            if (random.nextBoolean()) {
                store.revoke(FleetState.memberKey(victim.daemon()));
            }
            simulation.at(seconds(1, 20), () -> victim.store().setCut(false));
        }

        private void outage(boolean pauseLeases) {
            store.setDown(true, pauseLeases);
            simulation.at(seconds(1, 16), () -> store.setDown(false, false));
        }

        private void loseAnswers() {
            store.setLostAnswers(0.4);
            simulation.at(seconds(1, 6), () -> store.setLostAnswers(0));
        }

        private void restartBackend(SimulatedInstance victim) {
            victim.crashBackend();
            simulation.at(seconds(0, 12), () -> {
                if (victim.backend().isEmpty()) {
                    victim.startBackend();
                }
            });
        }

        private void silence(SimulatedInstance victim) {
            victim.backend().ifPresent(backend -> {
                backend.setSilent(true);
                simulation.at(seconds(1, 14), () -> backend.setSilent(false));
            });
        }
    }

    private static void play(long seed) {
        try {
            History history = new History(seed);
            history.run(Duration.ofSeconds(8));
            for (int i = 0; i < 5; i++) {
                history.injectFault();
                history.run(history.seconds(0, 9));
            }
            history.run(Duration.ofSeconds(20));
            history.working = false;
            history.run(HEALING);
            assertEquals(0, history.unheldKeys(), "keys without a holder after " + history.faults);
        } catch (AssertionError e) {
            throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
        }
    }

    @Nested
    class RandomHistories {
        /** Guards against two holders of a key, tokens that fall, and keys that stay without a holder. */
        @Test
        void histories_neverTwoHoldersAndAllKeysHeldInTheEnd() {
            Long seed = Long.getLong("daisyhoist.model.seed");
            if (seed != null) {
                play(seed);
                return;
            }
            int histories = Integer.getInteger("daisyhoist.model.histories", 40);
            for (int i = 1; i <= histories; i++) {
                play(i);
            }
        }
    }

    @Nested
    class Losses {
        private final History history = new History(1);

        @BeforeEach
        void keepKeysInPlace() {
            history.working = false;
        }

        /** Guards against keys that need a majority of the daemons to move. */
        @Test
        void allButOneLost_theLastHoldsAllKeys() {
            history.run(Duration.ofSeconds(8));
            assertEquals(0, history.unheldKeys());
            history.instances.subList(1, INSTANCES).forEach(lost -> {
                lost.killDaemon();
                lost.crashBackend();
            });
            history.run(Duration.ofSeconds(16));
            assertEquals(0, history.unheldKeys());
        }

        /** Guards against a restart of all daemons that has to wait for leases or holds to end. */
        @Test
        void allDaemonsRestartedAtOnce_keysAreKept() {
            history.run(Duration.ofSeconds(8));
            history.instances.forEach(SimulatedInstance::killDaemon);
            history.run(Duration.ofSeconds(1));
            history.instances.forEach(SimulatedInstance::startDaemon);
            history.run(Duration.ofSeconds(3));
            assertEquals(0, history.unheldKeys());
        }

        /** Guards against a move that an ended process has sent and that the store does after its successor has granted. */
        @Test
        void daemonKilledWhileItsMoveIsOnTheWay_keysAreNotHeldTwice() {
            for (int seed = 1; seed <= 12; seed++) {
                killDuringMove(new History(seed));
            }
        }

        private void killDuringMove(History fleet) {
            fleet.run(Duration.ofSeconds(8));
            boolean[] killed = new boolean[1];
            fleet.instances.forEach(instance -> instance.store().delayNextRangeCommit(Duration.ofSeconds(4), () -> {
                if (!killed[0]) {
                    killed[0] = true;
                    fleet.working = false;
                    instance.killDaemon();
                    fleet.simulation.at(Duration.ofMillis(300), instance::startDaemon);
                }
            }));
            fleet.run(Duration.ofSeconds(12));
            assertTrue(killed[0], "no move was sent");
            fleet.run(HEALING);
            assertEquals(0, fleet.unheldKeys());
        }

        /** Guards against keys that stop because the store is away for some seconds. */
        @Test
        void storeDownForSixSeconds_noKeyStops() {
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

        /** Guards against keys that are withdrawn for moves which cannot be written while the store refuses calls. */
        @Test
        void storeRefusesWhileKeysMove_keysAreGrantedAgain() {
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
