package io.daisyhoist.mesh.process;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.keyrange.RangeTable;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.store.Decoded;
import io.daisyhoist.mesh.store.OperatorDocuments;
import io.daisyhoist.mesh.store.StoreEra;
import io.daisyhoist.mesh.store.StoredItem;
import io.daisyhoist.mesh.store.Transaction;
import io.daisyhoist.mesh.version.FleetSnapshot;

/**
 * Fleet state read from the store, with the time since which the entry of a daemon has been absent.
 *
 * <p>Invariants: the configuration version never decreases; a daemon whose entry is absent remains a member until
 * {@link #memberExpiry} has passed, because an outage of the store may expire the entries of running daemons; an item that
 * cannot be used leaves the state as it was. Confined to the control thread.
 */
final class FleetState {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Sorts before the entries, so that a listing of several pages reads the record of a daemon before its entry. */
    static final String CREATION_PREFIX = "daisyhoist/creations/";

    static final String MEMBER_PREFIX = "daisyhoist/members/";
    static final String RANGE_PREFIX = "daisyhoist/ranges/";

    /** Time in which operators write again what the store has lost. */
    private static final Duration LOST_OPERATOR_ITEM_GRACE = Duration.ofSeconds(5);

    private final TimeSource time;
    private final OperatorDocuments documents;
    private final Duration memberExpiry;
    private final Consumer<FleetSnapshot> publisher;
    private final Runnable onRejectedItem;
    private Optional<FleetConfig> config = Optional.empty();
    private final Set<AvailabilityZone> evacuatedZones = new HashSet<>();
    private final Map<DaemonId, MemberEntry> members = new TreeMap<>();
    private final Map<String, Creation> creations = new HashMap<>();
    private final EraMarkers eraMarkers = new EraMarkers();
    private final Map<String, Long> lostOperatorKeys = new HashMap<>();
    private final Map<ServiceName, StoredTable> tables = new HashMap<>();
    private Optional<FleetSnapshot> currentSnapshot = Optional.empty();
    private StoreEra era = StoreEra.NONE;
    private boolean inBatch;
    private boolean changedInBatch;

    /**
     * Creation record of a daemon.
     *
     * @param revision store revision
     * @param era era in which the daemon has created its entry; an older one if the record is from a copy of the store
     */
    private record Creation(long revision, long era) {}

    private static final class MemberEntry {
        private final FleetMember member;
        private Optional<Long> absentSinceNanos = Optional.empty();
        private Optional<IgnoredEntry> ignored = Optional.empty();
        private boolean replaced;

        private MemberEntry(FleetMember member) {
            this.member = member;
        }
    }

    /** Entry of a member under which the store has no creation record of the present era. */
    private record IgnoredEntry(FleetMember member, long revision) {}

    /**
     * Assignment table with its revision in the store.
     *
     * @param table assignment table
     * @param revision store revision
     */
    record StoredTable(RangeTable table, long revision) {}

    /**
     * Creates an empty state.
     *
     * @param memberExpiry time after which an absent daemon is no longer a member
     * @param publisher receives a snapshot after each change
     * @param onRejectedItem called for each item that could not be used
     */
    FleetState(
            TimeSource time,
            OperatorDocuments documents,
            Duration memberExpiry,
            Consumer<FleetSnapshot> publisher,
            Runnable onRejectedItem) {
        this.time = time;
        this.documents = documents;
        this.memberExpiry = memberExpiry;
        this.publisher = publisher;
        this.onRejectedItem = onRejectedItem;
    }

    /** Handles a new era of the store: what was read before is kept until the store shows something newer. */
    void onEra(StoreEra newEra) {
        era = newEra;
    }

    /** Returns the era of the store. */
    StoreEra era() {
        return era;
    }

    /** Returns how far the tables have been restored in each era. */
    EraMarkers eraMarkers() {
        return eraMarkers;
    }

    /** Handles a changed operator item. */
    void onOperatorItem(StoredItem item) {
        lostOperatorKeys.remove(item.key());
        accept(item, documents.read(item), document -> {
            if (document instanceof OperatorDocuments.Configuration configuration) {
                onConfig(configuration.config());
            } else if (document instanceof OperatorDocuments.EvacuatedZone zone && evacuatedZones.add(zone.zone())) {
                LOGGER.atInfo().log("event=zone_evacuated zone=%s revision=%d", zone.zone(), item.revision());
                publish();
            }
        });
    }

    private <T> void accept(StoredItem item, Decoded<T> decoded, Consumer<T> consumer) {
        if (decoded instanceof Decoded.Valid<T> valid) {
            consumer.accept(valid.value());
        } else if (decoded instanceof Decoded.Rejected<T> rejected) {
            onRejectedItem.run();
            LOGGER.atWarning().log(
                    "event=store_item_ignored key=%s revision=%d reason=\"%s\"",
                    item.key(), item.revision(), rejected.reason());
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

    /** Handles an operator item that the store has lost; its effect stays until operators had time to write it again. */
    void onOperatorItemLost(String key) {
        lostOperatorKeys.put(key, time.monotonicNanos());
        LOGGER.atInfo().log("event=operator_item_lost key=%s era=%d outcome=kept", key, era.number());
    }

    /** Handles the deletion of an operator item. */
    void onOperatorDeleted(String key) {
        lostOperatorKeys.remove(key);
        documents.evacuatedZone(key).filter(evacuatedZones::remove).ifPresent(zone -> {
            LOGGER.atInfo().log("event=zone_restored zone=%s", zone);
            publish();
        });
    }

    /** Handles a changed item that a daemon wrote. */
    void onFleetItem(StoredItem item) {
        if (item.key().startsWith(MEMBER_PREFIX)) {
            Decoded<FleetMember> decoded = FleetJson.read(item.value(), FleetMember.class);
            accept(
                    item,
                    requireKey(item, decoded, member -> memberKey(member.daemon())),
                    member -> onMember(member, item.revision()));
        } else if (item.key().startsWith(RANGE_PREFIX)) {
            Decoded<RangeTable> decoded = FleetJson.read(item.value(), RangeTable.class);
            accept(
                    item,
                    requireKey(item, decoded, table -> rangeKey(table.service())),
                    table -> onTable(table, item.revision()));
        } else if (item.key().startsWith(CREATION_PREFIX)) {
            creations.put(item.key(), new Creation(item.revision(), creationEra(item)));
            members.values().stream()
                    .filter(entry -> item.key().equals(creationKey(entry.member.daemon())))
                    .flatMap(entry -> entry.ignored.stream())
                    .filter(ignored -> ignored.revision() >= item.revision())
                    .findFirst()
                    .ifPresent(ignored -> onMember(ignored.member(), ignored.revision()));
        } else if (item.key().startsWith(EraMarkers.PREFIX)) {
            eraMarkers.onItem(item);
        }
    }

    /** Returns the value of a creation record for an era. */
    static byte[] creationValue(long eraNumber) {
        return eraNumber == 0 ? new byte[0] : Long.toString(eraNumber).getBytes(StandardCharsets.US_ASCII);
    }

    private static long creationEra(StoredItem item) {
        String text = new String(item.value(), StandardCharsets.US_ASCII);
        return text.matches("[0-9]{1,18}") ? Long.parseLong(text) : 0;
    }

    /** Rejects a value under the key of another one, which it would replace. */
    private static <T> Decoded<T> requireKey(StoredItem item, Decoded<T> decoded, Function<T, String> expectedKey) {
        boolean misplaced = decoded instanceof Decoded.Valid<T> valid
                && !expectedKey.apply(valid.value()).equals(item.key());
        return misplaced ? Decoded.rejected("the value belongs to another key") : decoded;
    }

    private void onMember(FleetMember member, long revision) {
        if (members.containsKey(member.daemon()) && isFromCopy(member.daemon())) {
            // What is known is newer than a copy of the store, unless the creation record of the same write follows.
            members.get(member.daemon()).ignored = Optional.of(new IgnoredEntry(member, revision));
            return;
        }
        markReplaced(member);
        MemberEntry previous = members.put(member.daemon(), new MemberEntry(member));
        if (previous == null || !previous.member.equals(member) || previous.absentSinceNanos.isPresent()) {
            LOGGER.atInfo().log(
                    "event=member_changed member=%s incarnation=%s service=%s backend=%s",
                    member.daemon(),
                    Long.toHexString(member.incarnation()),
                    member.service(),
                    member.backend().map(Object::toString).orElse("none"));
            publish();
        }
    }

    /** Excludes an absent member whose address another daemon now uses; requests to it would reach that daemon. */
    private void markReplaced(FleetMember registered) {
        members.values().stream()
                .filter(entry -> !entry.member.daemon().equals(registered.daemon()))
                .filter(entry -> entry.member.peerHost().equals(registered.peerHost()))
                .filter(entry -> entry.absentSinceNanos.isPresent())
                .forEach(entry -> {
                    entry.replaced = true;
                    LOGGER.atInfo().log(
                            "event=member_replaced member=%s by=%s", entry.member.daemon(), registered.daemon());
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

    /** Handles a table that this daemon has committed. */
    void onCommittedTable(RangeTable table, long revision) {
        onTable(table, revision);
    }

    /** Handles the deletion of an item that a daemon wrote. */
    void onFleetDeleted(String key) {
        if (creations.remove(key) != null) {
            return;
        }
        if (key.startsWith(EraMarkers.PREFIX)) {
            eraMarkers.onDeleted(key);
            return;
        }
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

    /** Removes the members whose entry has been absent, and the operator items that have been lost, for too long. */
    void removeExpired() {
        lostOperatorKeys.entrySet().stream()
                .filter(lost -> time.monotonicNanos() - lost.getValue() > LOST_OPERATOR_ITEM_GRACE.toNanos())
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::onOperatorDeleted);
        boolean removed = members.values().removeIf(this::isExpired);
        if (removed) {
            publish();
        }
    }

    private boolean isExpired(MemberEntry entry) {
        boolean expired = entry.absentSinceNanos
                .filter(since -> time.monotonicNanos() - since > memberExpiry.toNanos())
                .isPresent();
        if (expired) {
            LOGGER.atInfo().log(
                    "event=member_gone member=%s absent_ms=%d", entry.member.daemon(), memberExpiry.toMillis());
        }
        return expired;
    }

    /** Returns whether the store has no entry of a daemon at present, or one from a copy of an earlier era only. */
    boolean isAbsent(DaemonId daemon) {
        MemberEntry entry = members.get(daemon);
        return entry == null || entry.absentSinceNanos.isPresent() || isFromCopy(daemon);
    }

    private boolean isFromCopy(DaemonId daemon) {
        return Optional.ofNullable(creations.get(creationKey(daemon)))
                        .map(Creation::era)
                        .orElse(0L)
                < era.number();
    }

    /** Returns whether the store has records of daemons of an earlier era, so that it may have had other items as well. */
    boolean isRestored() {
        return creations.values().stream().anyMatch(creation -> creation.era() < era.number());
    }

    /** Returns the store revision at which a daemon last created its entry, or {@link Transaction#ABSENT}. */
    long creationRevision(DaemonId daemon) {
        Creation creation = creations.get(creationKey(daemon));
        return creation == null ? Transaction.ABSENT : creation.revision();
    }

    Optional<StoredTable> table(ServiceName service) {
        return Optional.ofNullable(tables.get(service));
    }

    /** Returns the present state; the same object as long as nothing changes, because its cost grows with the fleet. */
    FleetSnapshot snapshot() {
        if (currentSnapshot.isEmpty()) {
            currentSnapshot = Optional.of(createSnapshot());
        }
        return currentSnapshot.get();
    }

    private FleetSnapshot createSnapshot() {
        Map<DaemonId, FleetMember> activeMembers = new HashMap<>();
        members.forEach((daemon, entry) -> {
            if (!entry.replaced) {
                activeMembers.put(daemon, entry.member);
            }
        });
        Map<ServiceName, RangeTable> rangeTables = new HashMap<>();
        tables.forEach((service, stored) -> rangeTables.put(service, stored.table()));
        return new FleetSnapshot(config, evacuatedZones, activeMembers, rangeTables);
    }

    static String memberKey(DaemonId daemon) {
        return MEMBER_PREFIX + daemon;
    }

    static String creationKey(DaemonId daemon) {
        return CREATION_PREFIX + daemon;
    }

    static String rangeKey(ServiceName service) {
        return RANGE_PREFIX + service;
    }

    /** Applies several changes and publishes one snapshot for all of them, because its cost grows with the fleet. */
    void applyBatch(Runnable changes) {
        inBatch = true;
        try {
            changes.run();
        } finally {
            inBatch = false;
            if (changedInBatch) {
                changedInBatch = false;
                publish();
            }
        }
    }

    private void publish() {
        currentSnapshot = Optional.empty();
        if (inBatch) {
            changedInBatch = true;
            return;
        }
        publisher.accept(snapshot());
    }
}
