package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.keyrange.RangeTable;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.store.OperatorDocuments;
import io.daisyhoist.mesh.store.StoredItem;
import io.daisyhoist.mesh.version.FleetSnapshot;

/**
 * What the store says of the fleet, and since when a daemon's entry has been missing.
 *
 * <p>Invariants: the configuration version never goes back; a daemon whose entry is missing stays a member until it has
 * been missing for {@link #absenceLimit}, because an outage of the store may end the entries of living daemons. Confined
 * to the control thread.
 */
final class FleetState {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    static final String MEMBER_PREFIX = "daisyhoist/members/";
    static final String RANGE_PREFIX = "daisyhoist/ranges/";

    private final TimeSource time;
    private final OperatorDocuments documents;
    private final Duration absenceLimit;
    private final Consumer<FleetSnapshot> publisher;
    private Optional<FleetConfig> config = Optional.empty();
    private final Set<AvailabilityZone> evacuated = new HashSet<>();
    private final Map<DaemonId, Entry> members = new TreeMap<>();
    private final Map<ServiceName, StoredTable> tables = new HashMap<>();

    private static final class Entry {
        private final FleetMember member;
        private Optional<Long> absentSinceNanos = Optional.empty();
        private boolean replaced;

        private Entry(FleetMember member) {
            this.member = member;
        }
    }

    /**
     * A table with its revision in the store.
     *
     * @param table the table
     * @param revision its revision
     */
    record StoredTable(RangeTable table, long revision) {}

    FleetState(TimeSource time, OperatorDocuments documents, Duration absenceLimit, Consumer<FleetSnapshot> publisher) {
        this.time = time;
        this.documents = documents;
        this.absenceLimit = absenceLimit;
        this.publisher = publisher;
    }

    /** Takes an item that operators wrote. */
    void onOperatorItem(StoredItem item) {
        Optional<OperatorDocuments.Document> document = documents.read(item);
        if (document.isEmpty()) {
            LOGGER.atWarning().log("event=operator_document_ignored key=%s revision=%d", item.key(), item.revision());
            return;
        }
        if (document.get() instanceof OperatorDocuments.Configuration configuration) {
            onConfig(configuration.config());
        } else if (document.get() instanceof OperatorDocuments.EvacuatedZone zone && evacuated.add(zone.zone())) {
            LOGGER.atInfo().log("event=zone_evacuated zone=%s revision=%d", zone.zone(), item.revision());
            publish();
        }
    }

    private void onConfig(FleetConfig next) {
        long known = config.map(FleetConfig::version).orElse(-1L);
        if (next.version() <= known) {
            return;
        }
        config = Optional.of(next);
        LOGGER.atInfo().log("event=config_in_force version=%d replaces=%d", next.version(), known);
        publish();
    }

    /** Learns that an operators' key does not exist any more. */
    void onOperatorDeleted(String key) {
        documents.evacuatedZone(key).filter(evacuated::remove).ifPresent(zone -> {
            LOGGER.atInfo().log("event=zone_restored zone=%s", zone);
            publish();
        });
    }

    /** Takes an item of the fleet itself. */
    void onFleetItem(StoredItem item) {
        if (item.key().startsWith(MEMBER_PREFIX)) {
            FleetJson.read(item.key(), item.value(), FleetMember.class).ifPresent(this::onMember);
        } else if (item.key().startsWith(RANGE_PREFIX)) {
            FleetJson.read(item.key(), item.value(), RangeTable.class)
                    .ifPresent(table -> onTable(table, item.revision()));
        }
    }

    private void onMember(FleetMember member) {
        markReplaced(member);
        Entry before = members.put(member.daemon(), new Entry(member));
        if (before == null || !before.member.equals(member) || before.absentSinceNanos.isPresent()) {
            LOGGER.atInfo().log(
                    "event=member_changed member=%s incarnation=%s service=%s backend=%s",
                    member.daemon(),
                    Long.toHexString(member.incarnation()),
                    member.service(),
                    member.backend().map(Object::toString).orElse("none"));
            publish();
        }
    }

    /** An instance whose address now belongs to another daemon is gone; requests to it would reach the other one. */
    private void markReplaced(FleetMember newcomer) {
        members.values().stream()
                .filter(entry -> !entry.member.daemon().equals(newcomer.daemon()))
                .filter(entry -> entry.member.peerHost().equals(newcomer.peerHost()))
                .filter(entry -> entry.absentSinceNanos.isPresent())
                .forEach(entry -> {
                    entry.replaced = true;
                    LOGGER.atInfo().log(
                            "event=member_replaced member=%s by=%s", entry.member.daemon(), newcomer.daemon());
                });
    }

    private void onTable(RangeTable table, long revision) {
        StoredTable known = tables.get(table.service());
        if (known != null && known.revision() >= revision) {
            return;
        }
        tables.put(table.service(), new StoredTable(table, revision));
        LOGGER.atInfo().log(
                "event=ranges_changed service=%s revision=%d last_fence=%d assignments=%d",
                table.service(),
                revision,
                table.lastFence(),
                table.assignments().size());
        publish();
    }

    /** Takes a table that this daemon has written. */
    void onCommittedTable(RangeTable table, long revision) {
        onTable(table, revision);
    }

    /** Learns that one of the fleet's keys does not exist any more. */
    void onFleetDeleted(String key) {
        if (!key.startsWith(MEMBER_PREFIX)) {
            LOGGER.atWarning().log("event=fleet_item_deleted key=%s outcome=kept", key);
            return;
        }
        members.values().stream()
                .filter(entry -> key.equals(memberKey(entry.member.daemon())))
                .filter(entry -> entry.absentSinceNanos.isEmpty())
                .forEach(entry -> {
                    entry.absentSinceNanos = Optional.of(time.monotonicNanos());
                    LOGGER.atInfo().log("event=member_absent member=%s", entry.member.daemon());
                });
    }

    /** Drops the members whose entry has been missing for too long. */
    void dropAbsent() {
        boolean dropped = members.values().removeIf(this::isGone);
        if (dropped) {
            publish();
        }
    }

    private boolean isGone(Entry entry) {
        boolean gone = entry.absentSinceNanos
                .filter(since -> time.monotonicNanos() - since > absenceLimit.toNanos())
                .isPresent();
        if (gone) {
            LOGGER.atInfo().log(
                    "event=member_gone member=%s absent_ms=%d", entry.member.daemon(), absenceLimit.toMillis());
        }
        return gone;
    }

    /** Returns whether a daemon's entry is missing at present. */
    boolean isAbsent(DaemonId daemon) {
        Entry entry = members.get(daemon);
        return entry == null || entry.absentSinceNanos.isPresent();
    }

    /** Returns whether nothing is known of a daemon, or it has been missing for too long. */
    boolean isUnknown(DaemonId daemon) {
        return !members.containsKey(daemon);
    }

    Optional<StoredTable> table(ServiceName service) {
        return Optional.ofNullable(tables.get(service));
    }

    FleetSnapshot snapshot() {
        Map<DaemonId, FleetMember> present = new HashMap<>();
        members.forEach((daemon, entry) -> {
            if (!entry.replaced) {
                present.put(daemon, entry.member);
            }
        });
        Map<ServiceName, RangeTable> known = new HashMap<>();
        tables.forEach((service, stored) -> known.put(service, stored.table()));
        return new FleetSnapshot(config, evacuated, present, known);
    }

    static String memberKey(DaemonId daemon) {
        return MEMBER_PREFIX + daemon;
    }

    static String rangeKey(ServiceName service) {
        return RANGE_PREFIX + service;
    }

    private void publish() {
        publisher.accept(snapshot());
    }
}
