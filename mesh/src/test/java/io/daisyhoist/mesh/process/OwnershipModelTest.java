package io.daisyhoist.mesh.process;

import java.time.Duration;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Runs random histories of daemons, backend servers and the store in simulated time and checks exclusive key ownership.
 * {@code -Ddaisyhoist.model.seed=N} runs a single seed, {@code -Ddaisyhoist.model.histories=N} sets the number of histories.
 */
class OwnershipModelTest {
    private static final int INSTANCES = OwnershipHistory.INSTANCES;

    /** Fault-free time after which every key must have a holder again. */
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(20);

    private static void runHistory(long seed, int faultKinds) {
        try {
            OwnershipHistory history = new OwnershipHistory(seed);
            history.run(Duration.ofSeconds(8));
            for (int i = 0; i < 5; i++) {
                history.injectFault(faultKinds);
                history.run(history.randomSeconds(0, 9));
            }
            history.run(Duration.ofSeconds(20));
            history.stopRequests();
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
        private final OwnershipHistory history = new OwnershipHistory(1);

        @BeforeEach
        void stopRequests() {
            history.stopRequests();
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
            OwnershipHistory fleet = new OwnershipHistory(1, 40);
            fleet.stopRequests();
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
                killDuringMove(new OwnershipHistory(seed));
            }
        }

        private void killDuringMove(OwnershipHistory fleet) {
            fleet.run(Duration.ofSeconds(8));
            boolean[] killed = new boolean[1];
            fleet.instances.forEach(instance -> instance.store()
                    .delayNextRangeTableCommit(Duration.ofSeconds(4), () -> {
                        if (!killed[0]) {
                            killed[0] = true;
                            fleet.stopRequests();
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
                OwnershipHistory fleet = new OwnershipHistory(seed);
                fleet.run(Duration.ofMillis(7_000 + 250L * seed));
                fleet.store.setRefusing(true);
                fleet.run(Duration.ofSeconds(5));
                assertEquals(0, fleet.unheldKeys(), "seed " + seed);
            }
        }
    }
}
