package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.mesh.store.Decoded;
import io.daisyhoist.mesh.store.StoreDelta;
import io.daisyhoist.mesh.store.StoreEra;
import io.daisyhoist.mesh.store.StoreEvent;
import io.daisyhoist.mesh.store.StoredItem;
import io.daisyhoist.mesh.store.WatchResult;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.FleetLoad;
import io.daisyhoist.wire.proto.OperatorItems;
import io.daisyhoist.wire.proto.StoreChanges;

/** Converts control state to and from peer messages. Stateless. */
final class PeerMessages {
    /** Bounds the memory for changes of other daemons; a fleet's items are a small part of it. */
    private static final int MAX_CHANGES_BYTES = 16 << 20;

    private PeerMessages() {}

    static Envelope loadReport(LoadReport report) {
        long era = Math.max(StoreEra.of(report.operatorRevision()), StoreEra.of(report.fleetRevision()));
        FleetLoad.Builder message = FleetLoad.newBuilder()
                .setEra(era)
                .setDaemon(report.daemon().name())
                .setKeyBusySlots(report.keyBusySlots())
                .setKeysFollow(report.moveAnnounced())
                .setOperatorRevision(revisionIn(era, report.operatorRevision()))
                .setFleetRevision(revisionIn(era, report.fleetRevision()));
        report.storeContactAge().ifPresent(age -> message.setStoreContactAgeMs((int) age.toMillis()));
        return Envelope.newBuilder().setFleetLoad(message).build();
    }

    /** Returns the store's own revision; 0, which is older than all others, for one of an earlier era. */
    private static long revisionIn(long era, long revision) {
        return StoreEra.of(revision) == era ? StoreEra.withoutEra(revision) : 0;
    }

    private static long revisionOf(StoreEra era, long revision) {
        return revision == 0 ? 0 : era.with(revision);
    }

    static Envelope storeChanges(String prefix, StoreDelta delta) {
        StoreChanges.ChangeList.Builder changes = StoreChanges.ChangeList.newBuilder();
        StoreEra.withoutEra(delta.changes()).forEach(event -> changes.addChanges(change(event)));
        byte[] deflated = Compression.compress(changes.build().toByteArray());
        return Envelope.newBuilder()
                .setStoreChanges(StoreChanges.newBuilder()
                        .setPrefix(prefix)
                        .setFromRevision(StoreEra.withoutEra(delta.fromRevision()))
                        .setAsOf(StoreEra.withoutEra(delta.asOf()))
                        .setEra(StoreEra.of(delta.asOf()))
                        .setDeflatedChanges(ByteString.copyFrom(deflated)))
                .build();
    }

    private static StoreChanges.Change change(StoreEvent event) {
        StoreChanges.Change.Builder change =
                StoreChanges.Change.newBuilder().setKey(event.key()).setRevision(event.revision());
        event.item().ifPresent(item -> change.setValue(ByteString.copyFrom(item.value())));
        return change.build();
    }

    static Envelope operatorItems(List<StoredItem> items, long asOf) {
        OperatorItems.Builder message =
                OperatorItems.newBuilder().setAsOf(StoreEra.withoutEra(asOf)).setEra(StoreEra.of(asOf));
        items.forEach(item -> message.addItems(OperatorItems.Item.newBuilder()
                .setKey(item.key())
                .setValue(ByteString.copyFrom(item.value()))
                .setRevision(StoreEra.withoutEra(item.revision()))));
        return Envelope.newBuilder().setOperatorItems(message).build();
    }

    /**
     * Load report of another daemon. Immutable.
     *
     * @param daemon sender
     * @param keyBusySlots number of its slots that requests for its keys keep busy
     * @param moveAnnounced whether keys are about to move to the receiver
     * @param operatorRevision store revision of the latest change of operators that it knows
     * @param fleetRevision store revision of the latest change of daemons that it knows
     * @param storeContactAge time since its last contact with the store, if it passes changes of the store on to the
     *     receiver
     */
    record LoadReport(
            DaemonId daemon,
            double keyBusySlots,
            boolean moveAnnounced,
            long operatorRevision,
            long fleetRevision,
            Optional<Duration> storeContactAge) {
        LoadReport {
            if (!Double.isFinite(keyBusySlots) || keyBusySlots < 0) {
                throw new IllegalArgumentException("invalid number of busy slots: " + keyBusySlots);
            }
            if (operatorRevision < 0 || fleetRevision < 0) {
                throw new IllegalArgumentException(
                        "revisions must not be negative: " + operatorRevision + ", " + fleetRevision);
            }
        }

        /** Returns the report for daemons to which the sender is about to move keys. */
        LoadReport announcingMove() {
            return new LoadReport(daemon, keyBusySlots, true, operatorRevision, fleetRevision, storeContactAge);
        }

        /** Returns the report for daemons to which the sender passes changes of the store on. */
        LoadReport forFollowers(Duration age) {
            return new LoadReport(
                    daemon, keyBusySlots, moveAnnounced, operatorRevision, fleetRevision, Optional.of(age));
        }
    }

    /**
     * Operator items that another daemon has read from the store. Immutable.
     *
     * @param items all items under the operators' prefix
     * @param asOf store revision up to which they are complete
     */
    record OperatorListing(List<StoredItem> items, long asOf) {
        OperatorListing {
            items = List.copyOf(items);
        }
    }

    /** Decodes a load report. */
    static Decoded<LoadReport> decode(FleetLoad message) {
        try {
            StoreEra era = new StoreEra(message.getEra());
            return Decoded.valid(new LoadReport(
                    new DaemonId(message.getDaemon()),
                    message.getKeyBusySlots(),
                    message.getKeysFollow(),
                    revisionOf(era, message.getOperatorRevision()),
                    revisionOf(era, message.getFleetRevision()),
                    message.hasStoreContactAgeMs()
                            ? Optional.of(Duration.ofMillis(Integer.toUnsignedLong(message.getStoreContactAgeMs())))
                            : Optional.empty()));
        } catch (IllegalArgumentException e) {
            return Decoded.rejected(e.getMessage());
        }
    }

    /**
     * Decodes operator items.
     *
     * @param prefix key prefix that all operator items have
     */
    static Decoded<OperatorListing> decode(OperatorItems message, String prefix) {
        if (message.getAsOf() < 0) {
            return Decoded.rejected("revision must not be negative: " + message.getAsOf());
        }
        List<StoredItem> items = message.getItemsList().stream()
                .map(item -> new StoredItem(item.getKey(), item.getValue().toByteArray(), item.getRevision()))
                .toList();
        for (StoredItem item : items) {
            boolean known =
                    item.key().startsWith(prefix) && 0 < item.revision() && item.revision() <= message.getAsOf();
            if (!known) {
                return Decoded.rejected(
                        "key " + item.key() + " at revision " + item.revision() + " as of " + message.getAsOf());
            }
        }
        try {
            StoreEra era = new StoreEra(message.getEra());
            return Decoded.valid(
                    new OperatorListing(items.stream().map(era::with).toList(), era.with(message.getAsOf())));
        } catch (IllegalArgumentException e) {
            return Decoded.rejected(e.getMessage());
        }
    }

    /** Decodes changes of the items under a key prefix that the receiver follows. */
    static Decoded<StoreDelta> decode(StoreChanges message) {
        try {
            byte[] changes = Compression.decompress(message.getDeflatedChanges().toByteArray(), MAX_CHANGES_BYTES);
            List<StoreEvent> events = new ArrayList<>();
            for (StoreChanges.Change change :
                    StoreChanges.ChangeList.parseFrom(changes).getChangesList()) {
                requireWithin(message, change);
                events.add(event(change));
            }
            StoreEra era = new StoreEra(message.getEra());
            WatchResult.Changes decoded = era.with(new WatchResult.Changes(events, message.getAsOf()));
            return Decoded.valid(new StoreDelta(era.with(message.getFromRevision()), decoded.events(), decoded.asOf()));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return Decoded.rejected(e.getMessage());
        }
    }

    private static void requireWithin(StoreChanges message, StoreChanges.Change change) {
        if (!change.getKey().startsWith(message.getPrefix()) || change.getRevision() <= message.getFromRevision()) {
            throw new IllegalArgumentException("change of " + change.getKey() + " at revision " + change.getRevision()
                    + " after " + message.getFromRevision() + " under " + message.getPrefix());
        }
    }

    private static StoreEvent event(StoreChanges.Change change) {
        Optional<StoredItem> item = change.hasValue()
                ? Optional.of(new StoredItem(change.getKey(), change.getValue().toByteArray(), change.getRevision()))
                : Optional.empty();
        return new StoreEvent(change.getKey(), change.getRevision(), item);
    }
}
