package io.daisyhoist.mesh.process;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.logging.Level;
import java.util.logging.Logger;

import io.daisyhoist.core.customer.ApiKeyCheck.Verdict;
import io.daisyhoist.core.customer.ApiKeyHash;
import io.daisyhoist.core.customer.Customer;
import io.daisyhoist.core.customer.CustomerName;
import io.daisyhoist.core.customer.CustomerTable;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.route.ClientLimits;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.route.RouteTable;
import io.daisyhoist.daemon.connection.PeerReply;
import io.daisyhoist.mesh.store.CountedStore;
import io.daisyhoist.mesh.store.Decoded;
import io.daisyhoist.mesh.store.OperatorDocuments;
import io.daisyhoist.mesh.store.StoredItem;
import io.daisyhoist.wire.proto.Envelope;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Simulated fleets with customers: which keys admit requests where, and what the proofs of the configuration cost. */
class KeyRevocationTest {
    private static final Duration START = Duration.ofSeconds(6);
    private static final Duration STEP = Duration.ofMillis(50);
    /** Below the age at which a follower asks the store itself. */
    private static final Duration MAX_QUIET_AGE = Duration.ofMillis(1_600);

    private static final Duration APPLY_LIMIT = Duration.ofMillis(2_500);
    private static final Duration REVOCATION_LIMIT = Duration.ofMillis(5_000);

    private final Logger projectLogger = Logger.getLogger("io.daisyhoist");
    private final Level levelBefore = projectLogger.getLevel();

    @BeforeEach
    void reduceLogs() {
        projectLogger.setLevel(Level.SEVERE);
    }

    @AfterEach
    void restoreLogs() {
        projectLogger.setLevel(levelBefore);
    }

    /** Reads an item as the version of a configuration and the keys of one customer, separated by spaces. */
    private static final class KeyDocuments implements OperatorDocuments {
        @Override
        public String prefix() {
            return "operators/";
        }

        @Override
        public Decoded<Document> read(StoredItem item) {
            String[] words = new String(item.value(), StandardCharsets.UTF_8).split(" ");
            Set<ApiKeyHash> keys = Set.copyOf(
                    Arrays.stream(words).skip(1).map(ApiKeyHash::ofKey).toList());
            Customer customer = new Customer(new CustomerName("a"), keys, OptionalInt.empty(), Optional.empty());
            return Decoded.valid(new Configuration(new FleetConfig(
                    Long.parseLong(words[0]),
                    new RouteTable(List.of()),
                    Map.of(),
                    ClientLimits.DEFAULT,
                    new CustomerTable(List.of(customer)))));
        }

        @Override
        public Optional<AvailabilityZone> evacuatedZone(String key) {
            return Optional.empty();
        }
    }

    private static final class Fleet implements SimulatedInstance.Network {
        private final Random random = new Random(1);
        private final Simulation simulation = new Simulation();
        private final SimulatedStore store = new SimulatedStore(simulation, random);
        private final Map<DaemonId, SimulatedInstance> instances = new TreeMap<>();
        private final Map<String, Integer> calls = new HashMap<>();
        private Predicate<DaemonId> unreachable = daemon -> false;
        private int questions;
        private long questionBytes;
        private int version;

        private Fleet(int size) {
            configure("old", "kept");
            for (int i = 0; i < size; i++) {
                simulation.runFor(Duration.ofMillis(random.nextInt(1 + 300 / size)));
                SimulatedInstance instance = new SimulatedInstance(
                        simulation,
                        store.client(),
                        client -> new CountedStore(client, kind -> calls.merge(kind, 1, Integer::sum)),
                        new KeyDocuments(),
                        i,
                        this);
                instances.put(instance.daemon(), instance);
            }
            simulation.runFor(START);
        }

        private void configure(String... keys) {
            version++;
            store.put("operators/config", (version + " " + String.join(" ", keys)).getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void deliver(DaemonId receiver, Envelope message) {
            onArrival(receiver, instance -> instance.receive(message));
        }

        @Override
        public CompletableFuture<Envelope> ask(DaemonId receiver, Envelope question) {
            questions++;
            questionBytes += question.getSerializedSize();
            CompletableFuture<Envelope> answer = new CompletableFuture<>();
            onArrival(
                    receiver,
                    instance -> instance.answer(question, new PeerReply() {
                        @Override
                        public boolean isDeliverable() {
                            return true;
                        }

                        @Override
                        public void accept(Envelope reply) {
                            questionBytes += reply.getSerializedSize();
                            simulation.at(Duration.ofMillis(1 + random.nextInt(9)), () -> answer.complete(reply));
                        }
                    }));
            return answer;
        }

        /** Drops all messages to some daemons. */
        private void cutOff(Set<DaemonId> daemons) {
            unreachable = daemons::contains;
        }

        private void onArrival(DaemonId receiver, Consumer<SimulatedInstance> action) {
            SimulatedInstance instance = instances.get(receiver);
            if (instance != null && !instance.process().isKilled() && !unreachable.test(receiver)) {
                simulation.at(Duration.ofMillis(1 + random.nextInt(9)), () -> action.accept(instance));
            }
        }

        /** Passes time in steps, after each of which all instances are checked. */
        private void runChecked(Duration span, Consumer<SimulatedInstance> check) {
            for (Duration passed = Duration.ZERO; passed.compareTo(span) < 0; passed = passed.plus(STEP)) {
                simulation.runFor(STEP);
                instances.values().forEach(check);
            }
        }

        private List<SimulatedInstance> watchers() {
            return instances.values().stream()
                    .filter(SimulatedInstance::isWatching)
                    .toList();
        }

        private void requireRefusedOnceRevoked() {
            configure("kept", "new");
            simulation.runFor(REVOCATION_LIMIT.minusMillis(100));
            runChecked(
                    Duration.ofSeconds(10),
                    instance -> assertTrue(
                            instance.check("old") != Verdict.VALID, instance.daemon() + " accepts a removed key"));
        }
    }

    @Nested
    class SteadyState {
        /** Guards against refusals in a fleet that nothing disturbs, and against a proof of each daemon from the store. */
        @ParameterizedTest
        @ValueSource(ints = {3, 86, 300})
        void quietFleet_refusesNothingAndAsksTheStoreRarely(int size) {
            Fleet fleet = new Fleet(size);
            fleet.calls.clear();
            fleet.questions = 0;
            fleet.questionBytes = 0;
            int seconds = 20;
            Duration[] oldest = {Duration.ZERO};
            fleet.runChecked(Duration.ofSeconds(seconds), instance -> {
                assertEquals(Verdict.VALID, instance.check("kept"));
                assertEquals(Verdict.UNKNOWN, instance.check("never"));
                Duration age = instance.proofAge().orElseThrow();
                oldest[0] = age.compareTo(oldest[0]) > 0 ? age : oldest[0];
            });
            double proofs = (double) fleet.calls.get("watch") / seconds;
            double allowed = 2.2 * Math.max(3, 3 * Math.ceil(size / 3.0 / 32));
            String figures = size + " daemons: " + proofs + " watches, " + fleet.questions / seconds + " questions, "
                    + fleet.questionBytes / seconds + " bytes a second, oldest proof " + oldest[0];
            System.out.println(figures);
            assertTrue(oldest[0].compareTo(MAX_QUIET_AGE) < 0, figures);
            assertTrue(proofs <= allowed, figures);
            assertTrue(fleet.questions <= 2.1 * size * seconds, figures);
        }

        @Test
        void keysAddedAndRemoved_areInForceInTime() {
            Fleet fleet = new Fleet(86);
            fleet.configure("kept", "new");
            fleet.simulation.runFor(APPLY_LIMIT);
            fleet.instances.values().forEach(instance -> {
                assertEquals(Verdict.VALID, instance.check("new"));
                assertEquals(Verdict.UNKNOWN, instance.check("old"));
            });
        }
    }

    @Nested
    class Disturbed {
        /** Guards against keys that are used without limit while the store does not answer. */
        @Test
        void storeDown_keysEndBeforeTheLimitAndReturnWithTheStore() {
            Fleet fleet = new Fleet(30);
            fleet.store.setDown(true, true);
            fleet.runChecked(Duration.ofMillis(2_500), instance -> assertEquals(Verdict.VALID, instance.check("kept")));
            fleet.simulation.runFor(Duration.ofMillis(2_500));
            fleet.runChecked(
                    Duration.ofSeconds(5), instance -> assertEquals(Verdict.UNCONFIRMED, instance.check("kept")));
            fleet.store.setDown(false, false);
            fleet.simulation.runFor(Duration.ofSeconds(4));
            fleet.runChecked(Duration.ofSeconds(2), instance -> assertEquals(Verdict.VALID, instance.check("kept")));
        }

        /** Guards against a daemon that is cut off and goes on with a key that the others refuse. */
        @Test
        void daemonsThatTheStoreTurnsAwayAndNoChangeReaches_refuseRevokedKeys() {
            Fleet fleet = new Fleet(30);
            List<SimulatedInstance> cutOff = fleet.instances.values().stream()
                    .filter(instance -> !instance.isWatching())
                    .limit(5)
                    .toList();
            cutOff.forEach(instance -> instance.store().setDisconnected(true));
            Set<DaemonId> names =
                    Set.copyOf(cutOff.stream().map(SimulatedInstance::daemon).toList());
            fleet.cutOff(names);
            fleet.requireRefusedOnceRevoked();
        }

        /** Guards against followers that trust, or wait for, watchers that are frozen, suspended, cut off or unreachable. */
        @ParameterizedTest
        @ValueSource(ints = {0, 1, 2, 3})
        void watchersDisturbed_othersRefuseNothingValidAndApplyChangesInTime(int fault) {
            Fleet fleet = new Fleet(60);
            List<SimulatedInstance> watchers = fleet.watchers();
            Set<DaemonId> names =
                    Set.copyOf(watchers.stream().map(SimulatedInstance::daemon).toList());
            watchers.forEach(watcher -> {
                switch (fault) {
                    case 0 -> watcher.process().freeze(Duration.ofSeconds(8), false);
                    case 1 -> watcher.process().freeze(Duration.ofSeconds(8), true);
                    case 2 -> watcher.store().setDisconnected(true);
                    default -> fleet.cutOff(names);
                }
            });
            Consumer<SimulatedInstance> accepts = instance -> {
                if (!names.contains(instance.daemon())) {
                    assertEquals(Verdict.VALID, instance.check("kept"), instance.daemon() + " with fault " + fault);
                }
            };
            fleet.runChecked(Duration.ofSeconds(1), accepts);
            fleet.configure("kept");
            fleet.runChecked(APPLY_LIMIT, accepts);
            fleet.runChecked(Duration.ofSeconds(6), instance -> {
                accepts.accept(instance);
                boolean connected = !names.contains(instance.daemon());
                assertTrue(!connected || instance.check("old") != Verdict.VALID, instance.daemon() + " is behind");
            });
        }

        /** Guards against daemons, watchers among them, that the store turns away and that refuse what others accept. */
        @Test
        void storeTurnsSomeDaemonsAway_theyAskOthersAndRefuseNothingValid() {
            Fleet fleet = new Fleet(60);
            fleet.instances.values().stream()
                    .filter(instance ->
                            instance.isWatching() || instance.daemon().name().endsWith("7"))
                    .forEach(instance -> instance.store().setDisconnected(true));
            fleet.runChecked(
                    Duration.ofSeconds(20),
                    instance -> assertEquals(
                            Verdict.VALID, instance.check("kept"), instance.daemon() + " " + instance.proofAge()));
            fleet.requireRefusedOnceRevoked();
        }

        /** Guards against long refusals after a suspension or a step of a clock while the store answers. */
        @Test
        void resumedInContact_provesAtOnce() {
            Fleet fleet = new Fleet(30);
            fleet.instances.values().forEach(instance -> instance.process().freeze(Duration.ofSeconds(1), true));
            fleet.simulation.runFor(Duration.ofMillis(1_100));
            fleet.runChecked(Duration.ofSeconds(3), instance -> assertEquals(Verdict.VALID, instance.check("kept")));
        }

        /** Guards against an instance that was suspended while a key was removed, and takes its proof for young. */
        @ParameterizedTest
        @ValueSource(ints = {1_000, 4_000, 5_000, 8_000})
        void suspended_refusesRevokedKeysFromItsFirstRequest(int millis) {
            Fleet fleet = new Fleet(30);
            fleet.instances.values().forEach(instance -> {
                instance.store().setDisconnected(true);
                instance.process().freeze(Duration.ofMillis(millis), true);
            });
            fleet.configure("kept");
            fleet.simulation.runFor(REVOCATION_LIMIT.minusMillis(100));
            fleet.runChecked(Duration.ofSeconds(10), instance -> assertTrue(instance.check("old") != Verdict.VALID));
        }
    }
}
