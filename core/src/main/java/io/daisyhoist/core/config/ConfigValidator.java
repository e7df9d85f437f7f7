package io.daisyhoist.core.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Names;
import io.daisyhoist.core.model.ServiceName;

/** Validates a merged configuration and collects all faults. Not thread-safe; one instance per validation. */
public final class ConfigValidator {
    private static final String NAME_RULE = "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit";
    private static final Pattern METHOD_PATTERN = Pattern.compile("[A-Z]{1,16}");
    private static final Comparator<ConfigFault> FAULT_ORDER = Comparator.comparing(ConfigFault::file)
            .thenComparing(ConfigFault::key)
            .thenComparing(ConfigFault::reason);

    private final MergedConfig merged;
    private final List<ConfigFault> faults;
    private final Map<ServiceName, ServiceSettings> services = new TreeMap<>();
    private final Map<AvailabilityZone, ZoneState> zones = new TreeMap<>();
    private final Map<DaemonId, WorkerSettings> workers = new TreeMap<>();

    private ConfigValidator(MergedConfig merged) {
        this.merged = merged;
        this.faults = new ArrayList<>(merged.faults());
    }

    /**
     * Validates a merged configuration.
     *
     * @param version version of the document that contains the files
     * @throws InvalidConfigException with all faults
     */
    public static EffectiveConfig validate(long version, MergedConfig merged) {
        return new ConfigValidator(merged).run(version);
    }

    private EffectiveConfig run(long version) {
        SettingsReader root = new SettingsReader(merged.root(), List.of(), this::fileDefining, faults);
        root.tables("zones").forEach(this::readZone);
        root.tables("services").forEach(this::readService);
        root.tables("workers").forEach(this::readWorker);
        root.reportUnknownKeys();
        if (!faults.isEmpty()) {
            throw new InvalidConfigException(faults.stream().sorted(FAULT_ORDER).toList());
        }
        return new EffectiveConfig(version, services, zones, workers);
    }

    private void readZone(String name, SettingsReader table) {
        String state = table.text("state").orElse("in");
        if (!state.equals("in") && !state.equals("out")) {
            table.addFault("state", "must be \"in\" or \"out\", not \"" + state + "\"");
        }
        table.reportUnknownKeys();
        if (hasValidName(name, table)) {
            zones.put(new AvailabilityZone(name), state.equals("out") ? ZoneState.OUT : ZoneState.IN);
        }
    }

    private void readService(String name, SettingsReader table) {
        boolean validName = hasValidName(name, table);
        boolean keyed = table.flag("keyed", true);
        // 1,024 partitions of about 60 bytes each keep the group record within tens of KB.
        int partitions = (int) table.requiredNumber("partitions", 1, 1024);
        int slots = (int) table.requiredNumber("slots", 1, 10_000);
        int maxConnections = (int) table.number("max_connections", 110, 1, 65_535);
        int coldLimit = (int) table.number("cold_limit", Math.min(2, slots), 1, 10_000);
        if (coldLimit > slots) {
            table.addFault("cold_limit", "must not exceed slots (" + slots + ")");
        }
        boolean checksFence = table.requiredFlag(
                "checks_fence", "true if the backend servers refuse a stale Daisyhoist-Fence, otherwise false");
        List<String> methods = table.texts(
                "unrepeatable_methods",
                List.of("POST", "PATCH"),
                method -> METHOD_PATTERN.matcher(method).matches(),
                "HTTP methods in capital letters");
        Duration timeout = Duration.ofMillis(table.number("request_timeout_ms", 5_000, 1, 600_000));
        table.reportUnknownKeys();
        if (validName) {
            ServiceName service = new ServiceName(name);
            services.put(
                    service,
                    new ServiceSettings(
                            service,
                            keyed,
                            partitions,
                            slots,
                            maxConnections,
                            coldLimit,
                            checksFence,
                            new HashSet<>(methods),
                            timeout));
        }
    }

    private void readWorker(String name, SettingsReader table) {
        String service = table.requiredText("service", Names::isValid, NAME_RULE);
        String zone = table.requiredText("zone", Names::isValid, NAME_RULE);
        table.reportUnknownKeys();
        if (!hasValidName(name, table) || !Names.isValid(service) || !Names.isValid(zone)) {
            return;
        }
        WorkerSettings worker =
                new WorkerSettings(new DaemonId(name), new ServiceName(service), new AvailabilityZone(zone));
        checkReferences(worker, table);
        workers.put(worker.daemon(), worker);
    }

    private void checkReferences(WorkerSettings worker, SettingsReader table) {
        // An unreadable file may define them, so reporting a missing definition would be misleading.
        if (!merged.faults().isEmpty()) {
            return;
        }
        if (!services.containsKey(worker.service())) {
            table.addFault("service", "there is no [services." + worker.service() + "]");
        }
        if (!zones.containsKey(worker.zone())) {
            table.addFault("zone", "there is no [zones." + worker.zone() + "]");
        }
    }

    private boolean hasValidName(String name, SettingsReader table) {
        if (Names.isValid(name)) {
            return true;
        }
        table.addFault("the name must be " + NAME_RULE);
        return false;
    }

    private String fileDefining(List<String> path) {
        for (int length = path.size(); length > 0; length--) {
            String file = merged.fileByPath().get(path.subList(0, length));
            if (file != null) {
                return file;
            }
        }
        return "";
    }
}
