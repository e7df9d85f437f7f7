package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.mesh.store.CountedStore;
import io.daisyhoist.mesh.store.MetadataStore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RegistrationTest {
    private static final String KEY = "daisyhoist/members/d";

    private final Simulation simulation = new Simulation();
    private final SimulatedStore store = new SimulatedStore(simulation, new Random(1));
    private final SimulatedStore.Client client = store.client();
    private final Simulation.Process process = simulation.process();
    private final Map<String, Integer> calls = new TreeMap<>();
    private String failingCallback = "";
    private int failures;
    private int confirmations;

    private final class FailingListener implements Registration.Listener {
        @Override
        public void onConfirmed(ElapsedTimer sentAt) {
            confirmations++;
            failIfRequested("confirmed");
        }

        @Override
        public void onStoreRecovered() {
            failIfRequested("recovered");
        }

        @Override
        public void onRegistered() {
            failIfRequested("registered");
        }

        private void failIfRequested(String callback) {
            if (callback.equals(failingCallback)) {
                throw new IllegalStateException("requested by the test");
            }
        }
    }

    private void start() {
        FleetMember member = new FleetMember(
                new DaemonId("d"),
                1,
                new AvailabilityZone("z"),
                "10.0.0.1",
                1000,
                new ServiceName("s"),
                Optional.empty());
        MetadataStore counted = new CountedStore(client, kind -> calls.merge(kind, 1, Integer::sum));
        StoreAccess access = new StoreAccess(counted, process, process, new CallbackRunner(() -> failures++));
        new Registration(member, access, Duration.ofSeconds(1), new FailingListener()).start();
    }

    private void runFor(int seconds) {
        simulation.runFor(Duration.ofSeconds(seconds));
    }

    @Test
    void start_renewsUntilTheStoreIsGone() {
        start();
        runFor(30);
        assertTrue(store.item(KEY).isPresent());
        assertTrue(confirmations > 20, confirmations + " confirmations");
    }

    /** Guards against calls that delay the return of an entry after an outage of the store. */
    @Test
    void leaseEnded_entryIsWrittenAtOnce() {
        start();
        runFor(5);
        calls.clear();
        store.revoke(KEY);
        runFor(2);
        assertTrue(store.item(KEY).isPresent());
        calls.remove("renew");
        assertEquals(Map.of("lease", 1, "commit", 1), calls);
    }

    /** Guards against renewals that end silently after an exception, whereupon the daemon loses its registration. */
    @ParameterizedTest
    @ValueSource(strings = {"confirmed", "recovered", "registered"})
    void listenerThrows_registrationIsKept(String callback) {
        failingCallback = callback;
        start();
        runFor(5);
        client.setDisconnected(true);
        runFor(5);
        client.setDisconnected(false);
        runFor(20);
        assertTrue(store.item(KEY).isPresent());
        assertTrue(failures > 0);
    }
}
