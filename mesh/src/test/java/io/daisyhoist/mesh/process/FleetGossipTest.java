package io.daisyhoist.mesh.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.ManualTimeSource;
import io.daisyhoist.mesh.store.StoredItem;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.daisyhoist.wire.proto.Envelope;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FleetGossipTest {
    private static final int FLEET_SIZE = 64;
    private static final ServiceName KEYED = new ServiceName("keyed");
    private static final ServiceName OTHER = new ServiceName("other");

    private final FleetSnapshot fleet = new FleetSnapshot(Optional.empty(), Set.of(), members(), Map.of());
    private final Set<DaemonId> receivers = new HashSet<>();
    private int largestReport;

    private static final class IgnoringListener implements StoreCache.Listener {
        @Override
        public void onItem(StoredItem item) {
            throw new AssertionError("no items in this test");
        }

        @Override
        public void onDeleted(String key) {
            throw new AssertionError("no items in this test");
        }

        @Override
        public void onSynchronized(ElapsedTimer sentAt) {
            throw new AssertionError("not started in this test");
        }
    }

    private static DaemonId daemon(int index) {
        return new DaemonId(String.format("d%03d", index));
    }

    private static Map<DaemonId, FleetMember> members() {
        Map<DaemonId, FleetMember> members = new HashMap<>();
        for (int i = 0; i < FLEET_SIZE; i++) {
            ServiceName service = i % 2 == 0 ? KEYED : OTHER;
            members.put(
                    daemon(i),
                    new FleetMember(
                            daemon(i), 1, new AvailabilityZone("z"), "10.0.0." + i, 1000, service, Optional.empty()));
        }
        return members;
    }

    private FleetGossip gossip(int self) {
        Simulation simulation = new Simulation();
        Simulation.Process process = simulation.process();
        StoreCache cache = new StoreCache(
                "o/",
                new StoreAccess(
                        new SimulatedStore(simulation, new Random(1)).client(),
                        process,
                        process,
                        new CallbackRunner(() -> {})),
                new IgnoringListener());
        return new FleetGossip(
                daemon(self),
                new ManualTimeSource(),
                self,
                cache,
                () -> fleet,
                () -> new PeerMessages.LoadReport(daemon(self), 0, false, 0, 0, Optional.empty()),
                this::recordReport);
    }

    private void recordReport(List<FleetMember> to, Envelope message) {
        largestReport = Math.max(largestReport, to.size());
        to.forEach(member -> receivers.add(member.daemon()));
    }

    private void report(FleetGossip gossip, int reports) {
        for (int i = 0; i < reports; i++) {
            gossip.report(member -> false);
        }
    }

    /** Guards against a connection from each daemon to each other one, whose set-up takes the first seconds of a fleet. */
    @Test
    void report_largeFleet_goesToFewNeighbours() {
        report(gossip(5), 1_000);
        assertTrue(receivers.size() <= 6, receivers.toString());
    }

    /** Guards against operators' changes that do not reach daemons to which the store does not respond. */
    @Test
    void report_passedOnByAllReceivers_reachesTheFleet() {
        Set<DaemonId> reached = new HashSet<>(Set.of(daemon(0)));
        int before = 0;
        while (reached.size() > before) {
            before = reached.size();
            for (int i = 0; i < FLEET_SIZE; i++) {
                if (reached.contains(daemon(i))) {
                    receivers.clear();
                    report(gossip(i), 50);
                    reached.addAll(receivers);
                }
            }
        }
        assertEquals(FLEET_SIZE, reached.size());
    }

    /** Guards against messages that grow with the square of a service, and against daemons that get no reports. */
    @Test
    void report_largeService_goesToAllInTurn() {
        FleetGossip gossip = gossip(0);
        for (int i = 0; i < 4; i++) {
            gossip.report(member -> member.service().equals(KEYED));
        }
        assertTrue(largestReport <= 10, largestReport + " receivers");
        for (int i = 2; i < FLEET_SIZE; i += 2) {
            assertTrue(receivers.contains(daemon(i)), daemon(i).toString());
        }
    }
}
