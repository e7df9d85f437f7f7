package io.daisyhoist.cli.command;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.daisyhoist.cli.output.Table;
import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.config.ServiceSettings;
import io.daisyhoist.core.config.ZoneState;

/** Formats a merged configuration as text and JSON. Stateless. */
final class EffectiveConfigReport {
    private EffectiveConfigReport() {}

    static String toText(EffectiveConfig config) {
        Table services = new Table(
                "SERVICE",
                "KEYED",
                "PARTITIONS",
                "SLOTS",
                "CONNECTIONS",
                "COLD LIMIT",
                "FENCE",
                "NOT REPEATED",
                "TIMEOUT");
        for (ServiceSettings service : sortedServices(config)) {
            services.addRow(
                    service.name(),
                    service.keyed() ? "yes" : "no",
                    service.partitions(),
                    service.slots(),
                    service.maxConnections(),
                    service.coldLimit(),
                    service.checksFence() ? "checked" : "not checked",
                    String.join(" ", sortedUnrepeatableMethods(service)),
                    service.requestTimeout().toMillis() + " ms");
        }
        Table zones = new Table("ZONE", "STATE", "WORKERS");
        new TreeMap<>(config.zones())
                .forEach((zone, state) -> zones.addRow(
                        zone,
                        stateLabel(state),
                        config.workers().values().stream()
                                .filter(worker -> worker.zone().equals(zone))
                                .count()));
        return services + "\n" + zones;
    }

    static ObjectNode addToJson(ObjectNode json, EffectiveConfig config) {
        ObjectNode services = json.putObject("services");
        for (ServiceSettings service : sortedServices(config)) {
            ObjectNode entry = services.putObject(service.name().name())
                    .put("keyed", service.keyed())
                    .put("partitions", service.partitions())
                    .put("slots", service.slots())
                    .put("max_connections", service.maxConnections())
                    .put("cold_limit", service.coldLimit())
                    .put("checks_fence", service.checksFence())
                    .put("request_timeout_ms", service.requestTimeout().toMillis());
            sortedUnrepeatableMethods(service).forEach(entry.putArray("unrepeatable_methods")::add);
        }
        ObjectNode zones = json.putObject("zones");
        new TreeMap<>(config.zones()).forEach((zone, state) -> zones.put(zone.name(), stateLabel(state)));
        ObjectNode workers = json.putObject("workers");
        new TreeMap<>(config.workers())
                .forEach((daemon, worker) -> workers.putObject(daemon.name())
                        .put("service", worker.service().name())
                        .put("zone", worker.zone().name()));
        return json;
    }

    private static List<ServiceSettings> sortedServices(EffectiveConfig config) {
        return config.services().values().stream()
                .sorted(Comparator.comparing(ServiceSettings::name))
                .toList();
    }

    private static List<String> sortedUnrepeatableMethods(ServiceSettings service) {
        return service.unrepeatableMethods().stream().sorted().toList();
    }

    private static String stateLabel(ZoneState state) {
        return state.name().toLowerCase(Locale.ROOT);
    }
}
