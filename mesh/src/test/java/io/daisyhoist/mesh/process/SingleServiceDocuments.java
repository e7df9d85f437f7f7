package io.daisyhoist.mesh.process;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.route.ClientLimits;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.route.RouteTable;
import io.daisyhoist.core.route.ServicePolicy;
import io.daisyhoist.mesh.store.Decoded;
import io.daisyhoist.mesh.store.OperatorDocuments;
import io.daisyhoist.mesh.store.StoredItem;

/** Reads the value of every item as the version of a configuration with one keyed service. */
final class SingleServiceDocuments implements OperatorDocuments {
    @Override
    public String prefix() {
        return "operators/";
    }

    @Override
    public Decoded<Document> read(StoredItem item) {
        ServicePolicy policy = new ServicePolicy(SimulatedInstance.SERVICE, true, Duration.ofSeconds(3), 14, 110);
        Map<ServiceName, ServicePolicy> services = Map.of(SimulatedInstance.SERVICE, policy);
        long version = Long.parseLong(new String(item.value(), StandardCharsets.UTF_8));
        return Decoded.valid(
                new Configuration(new FleetConfig(version, new RouteTable(List.of()), services, ClientLimits.DEFAULT)));
    }

    @Override
    public Optional<AvailabilityZone> evacuatedZone(String key) {
        return Optional.empty();
    }
}
