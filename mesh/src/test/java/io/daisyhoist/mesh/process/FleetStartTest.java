package io.daisyhoist.mesh.process;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.logging.Level;
import java.util.logging.Logger;

import io.daisyhoist.core.keyrange.KeyRange;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.wire.proto.Envelope;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Simulated starts of the instances of a keyed service, some of them later than the first assignment of keys. */
class FleetStartTest {
    private static final int INSTANCES = 21;
    private static final int MAX_START_DELAY_MS = 6_000;

    private final Logger projectLogger = Logger.getLogger("io.daisyhoist");
    private final Level levelBefore = projectLogger.getLevel();
    private final Simulation simulation = new Simulation();
    private final Map<DaemonId, SimulatedInstance> instances = new HashMap<>();

    @BeforeEach
    void reduceLogs() {
        projectLogger.setLevel(Level.SEVERE);
    }

    @AfterEach
    void restoreLogs() {
        projectLogger.setLevel(levelBefore);
    }

    private void deliver(DaemonId receiver, Envelope message) {
        SimulatedInstance instance = instances.get(receiver);
        if (instance != null) {
            simulation.at(Duration.ofMillis(1), () -> instance.receive(message));
        }
    }

    private static int keysOf(SimulatedInstance instance) {
        return instance.backend().orElseThrow().heldRanges().stream()
                .mapToInt(held -> held.range().size())
                .sum();
    }

    /** Guards against servers without any keys, because they registered after the first table had been written. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void instancesStartWithinSeconds_allKeysAreHeldInEvenShares(long seed) {
        Random random = new Random(seed);
        SimulatedStore store = new SimulatedStore(simulation, random);
        store.put("operators/config", "1".getBytes(StandardCharsets.UTF_8));
        for (int i = 0; i < INSTANCES; i++) {
            int index = i;
            simulation.at(Duration.ofMillis(random.nextInt(MAX_START_DELAY_MS)), () -> {
                SimulatedInstance instance =
                        new SimulatedInstance(simulation, store, new SingleServiceDocuments(), index, this::deliver);
                instances.put(instance.daemon(), instance);
            });
        }
        simulation.runFor(Duration.ofSeconds(12));
        int most = instances.values().stream()
                .mapToInt(FleetStartTest::keysOf)
                .max()
                .orElseThrow();
        double busiestToMean = (double) most * INSTANCES / (KeyRange.MAX_KEY + 1);
        assertEquals(
                KeyRange.MAX_KEY + 1,
                instances.values().stream().mapToInt(FleetStartTest::keysOf).sum());
        assertTrue(busiestToMean <= 1.5, "busiest/mean by keys " + busiestToMean);
    }
}
