package io.daisyhoist.mesh.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;

import com.google.protobuf.CodedOutputStream;
import io.daisyhoist.core.customer.Customer;
import io.daisyhoist.core.customer.CustomerBounds;
import io.daisyhoist.core.customer.CustomerName;
import io.daisyhoist.core.customer.CustomerQuota;
import io.daisyhoist.core.customer.CustomerTable;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.route.ClientLimits;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.route.RouteTable;
import io.daisyhoist.core.time.ManualTimeSource;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.daisyhoist.wire.proto.Envelope;
import io.vertx.core.Future;

/** Quotas of several daemons that exchange their messages in memory and count the bytes. */
final class QuotaFleet {
    final ManualTimeSource time = new ManualTimeSource();
    final List<FleetQuota> daemons = new ArrayList<>();
    final Set<DaemonId> unreachable = new HashSet<>();
    final Map<String, Long> counts = new TreeMap<>();
    final FleetSnapshot snapshot;
    private final Map<DaemonId, FleetQuota> byId = new HashMap<>();
    long messages;
    long bytes;

    QuotaFleet(int size, List<Customer> customers) {
        Map<DaemonId, FleetMember> members = new HashMap<>();
        List<DaemonId> ids = IntStream.range(0, size)
                .mapToObj(index -> new DaemonId("side-a-" + index))
                .toList();
        ids.forEach(id -> members.put(
                id,
                new FleetMember(
                        id, 1, new AvailabilityZone("a"), "10.0.0.1", 1, new ServiceName("s"), Optional.empty())));
        FleetConfig config = new FleetConfig(
                1, new RouteTable(List.of()), Map.of(), ClientLimits.DEFAULT, new CustomerTable(customers));
        this.snapshot = new FleetSnapshot(Optional.of(config), Set.of(), members, Map.of());
        for (DaemonId id : ids) {
            ProcessId process = new ProcessId(id, 1);
            FleetQuota quota = new FleetQuota(
                    process,
                    time,
                    CustomerBounds.DEFAULT,
                    new SplittableRandom(1),
                    () -> snapshot,
                    new FleetQuota.Standing(() -> true, () -> true),
                    new FleetQuota.QuotaIo(
                            (lender, message) -> call(process, lender.daemon(), message),
                            (customer, decision, requests) ->
                                    counts.merge(customer + " " + decision, requests, Long::sum)));
            daemons.add(quota);
            byId.put(id, quota);
        }
    }

    static Customer customer(String name, double perSecond, double burst) {
        return new Customer(
                new CustomerName(name),
                Set.of(),
                OptionalInt.empty(),
                Optional.of(new CustomerQuota(perSecond, burst)));
    }

    private Future<Envelope> call(ProcessId from, DaemonId lender, Envelope message) {
        count(message);
        if (unreachable.contains(lender)) {
            return Future.failedFuture("unreachable");
        }
        Envelope reply =
                byId.get(lender).handle(from, message.getQuotaRequest()).orElseThrow();
        count(reply);
        return Future.succeededFuture(reply);
    }

    private void count(Envelope message) {
        messages++;
        int size = message.toBuilder().setRequestId(100_000).build().getSerializedSize();
        bytes += size + CodedOutputStream.computeUInt32SizeNoTag(size);
    }

    /** Advances the time in steps of the tick. */
    void advance(long millis) {
        for (long passed = 0; passed < millis; passed += FleetQuota.TICK_MILLIS) {
            time.advance(Duration.ofMillis(FleetQuota.TICK_MILLIS));
            daemons.forEach(FleetQuota::tick);
        }
    }
}
