package io.daisyhoist.mesh.process;

import java.nio.charset.StandardCharsets;
import java.time.Duration;

import io.daisyhoist.core.fleet.BackendProcessId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Runs random histories in which the store comes back from a copy some seconds old.
 * {@code -Ddaisyhoist.model.seed=N} runs a single seed, {@code -Ddaisyhoist.model.histories=N} sets the number of histories.
 */
class StoreRestoreModelTest {
    /** Time after the store's return after which every key must have a holder again. */
    private static final Duration BOUND = Duration.ofSeconds(15);

    private static final Duration RECOVERY_TIME = Duration.ofSeconds(30);

    /** Kinds of faults of {@link OwnershipHistory#injectFault}. */
    private static final int FAULT_KINDS = 13;

    private interface Scenario {
        void run(OwnershipHistory history);
    }

    private static OwnershipHistory start(long seed) {
        OwnershipHistory history = new OwnershipHistory(seed);
        history.store.keepCopies();
        history.run(Duration.ofSeconds(10));
        return history;
    }

    private static void runHistories(Scenario scenario) {
        Long single = Long.getLong("daisyhoist.model.seed");
        int histories = Integer.getInteger("daisyhoist.model.histories", 40);
        for (long seed = single == null ? 1 : single; seed <= (single == null ? histories : single); seed++) {
            OwnershipHistory history = start(seed);
            try {
                scenario.run(history);
            } catch (AssertionError e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage() + " after " + history.faults, e);
            }
        }
    }

    /** Guards against two holders of a key, tokens that are issued again, and keys that remain without a holder. */
    @Test
    void restoresAmongOtherFaults_neverTwoHoldersAndAllKeysHeldAtEnd() {
        runHistories(history -> {
            for (int i = 0; i < 4; i++) {
                history.injectFault(FAULT_KINDS);
                history.run(history.randomSeconds(0, 6));
                if (history.random.nextBoolean()) {
                    history.restoreStore();
                    history.run(history.randomSeconds(0, 14));
                }
            }
            history.run(Duration.ofSeconds(20));
            history.stopRequests();
            history.run(RECOVERY_TIME);
            assertEquals(0, history.unheldKeys(), "keys without a holder");
        });
    }

    /** Guards against keys that stay without a holder for longer than the bound after the store's return. */
    @Test
    void restoreWithOneOtherFault_allKeysHeldWithinBound() {
        runHistories(history -> {
            boolean before = history.random.nextBoolean();
            if (before) {
                history.injectShortFault();
                history.run(history.randomSeconds(0, 4));
            }
            Duration outage = history.restoreStore();
            if (!before) {
                history.injectShortFault();
            }
            history.stopRequests();
            history.run(outage.plus(BOUND));
            assertEquals(0, history.unheldKeys(), "keys without a holder");
            history.run(Duration.ofSeconds(10));
            assertEquals(0, history.unheldKeys(), "keys without a holder later");
        });
    }

    /** Guards against a configuration of the copy that replaces the one in force. */
    @Test
    void configurationChangedBeforeRestore_doesNotGoBack() {
        runHistories(history -> {
            history.store.put("operators/config", "2".getBytes(StandardCharsets.UTF_8));
            history.run(Duration.ofSeconds(2));
            history.restoreStore();
            for (int i = 0; i < 20; i++) {
                history.run(Duration.ofMillis(250));
                history.instances.forEach(instance -> assertEquals(2, instance.configVersion()));
            }
        });
    }

    /** Guards against the entry of a copy that shows a backend server as present after it has announced its shutdown. */
    @Test
    void backendLeftBeforeRestore_isNotUsedAgain() {
        runHistories(history -> {
            SimulatedInstance target = history.randomInstance();
            boolean[] acknowledged = new boolean[1];
            BackendProcessId departed = target.announceLeaving(() -> acknowledged[0] = true);
            history.run(Duration.ofSeconds(2));
            assertTrue(acknowledged[0]);
            if (history.random.nextBoolean()) {
                history.faults.add("restarted " + target.daemon());
                target.killDaemon();
                target.startDaemon();
                history.run(Duration.ofSeconds(2));
            }
            history.restoreStore();
            for (int i = 0; i < 80; i++) {
                history.instances.forEach(
                        instance -> assertFalse(instance.isUsing(departed), departed + " at " + instance.daemon()));
                history.run(Duration.ofMillis(250));
            }
        });
    }

    /** Guards against two restores in a row, the second of which brings back what the first one had undone. */
    @Test
    void restoredTwice_neverTwoHoldersAndAllKeysHeldWithinBound() {
        runHistories(history -> {
            Duration outage = history.restoreStore();
            history.run(outage.plus(history.randomSeconds(0, 12)));
            history.injectShortFault();
            outage = history.restoreStore();
            history.stopRequests();
            history.run(outage.plus(BOUND));
            assertEquals(0, history.unheldKeys(), "keys without a holder");
        });
    }
}
