package io.daisyhoist.mesh.process;

import java.util.List;

import com.google.protobuf.ByteString;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.mesh.store.Decoded;
import io.daisyhoist.mesh.store.StoredItem;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.FleetLoad;
import io.daisyhoist.wire.proto.OperatorItems;

/** Converts control state to and from peer messages. Stateless. */
final class PeerMessages {
    private PeerMessages() {}

    static Envelope loadReport(DaemonId sender, double keyBusySlots, boolean moveAnnounced, long operatorRevision) {
        return Envelope.newBuilder()
                .setFleetLoad(FleetLoad.newBuilder()
                        .setDaemon(sender.name())
                        .setKeyBusySlots(keyBusySlots)
                        .setKeysFollow(moveAnnounced)
                        .setOperatorRevision(operatorRevision))
                .build();
    }

    static Envelope operatorItems(List<StoredItem> items, long asOf) {
        OperatorItems.Builder message = OperatorItems.newBuilder().setAsOf(asOf);
        items.forEach(item -> message.addItems(OperatorItems.Item.newBuilder()
                .setKey(item.key())
                .setValue(ByteString.copyFrom(item.value()))
                .setRevision(item.revision())));
        return Envelope.newBuilder().setOperatorItems(message).build();
    }

    /**
     * Load report of another daemon. Immutable.
     *
     * @param daemon sender
     * @param keyBusySlots number of its slots that requests for its keys keep busy
     * @param moveAnnounced whether keys are about to move to the receiver
     * @param operatorRevision store revision of the latest operator item that it knows
     */
    record LoadReport(DaemonId daemon, double keyBusySlots, boolean moveAnnounced, long operatorRevision) {
        LoadReport {
            if (!Double.isFinite(keyBusySlots) || keyBusySlots < 0) {
                throw new IllegalArgumentException("invalid number of busy slots: " + keyBusySlots);
            }
            if (operatorRevision < 0) {
                throw new IllegalArgumentException("revision must not be negative: " + operatorRevision);
            }
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
            return Decoded.valid(new LoadReport(
                    new DaemonId(message.getDaemon()),
                    message.getKeyBusySlots(),
                    message.getKeysFollow(),
                    message.getOperatorRevision()));
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
        return Decoded.valid(new OperatorListing(items, message.getAsOf()));
    }
}
