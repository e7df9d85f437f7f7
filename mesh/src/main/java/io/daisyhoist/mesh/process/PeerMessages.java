package io.daisyhoist.mesh.process;

import java.util.List;

import com.google.protobuf.ByteString;
import io.daisyhoist.core.model.DaemonId;
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

    static List<StoredItem> storedItems(OperatorItems message) {
        return message.getItemsList().stream()
                .map(item -> new StoredItem(item.getKey(), item.getValue().toByteArray(), item.getRevision()))
                .toList();
    }
}
