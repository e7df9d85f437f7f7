package io.daisyhoist.mesh.process;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.mesh.store.Decoded;
import io.daisyhoist.mesh.store.StoreDelta;
import io.daisyhoist.mesh.store.StoreEra;
import io.daisyhoist.mesh.store.StoreEvent;
import io.daisyhoist.mesh.store.StoredItem;
import io.daisyhoist.wire.proto.FleetLoad;
import io.daisyhoist.wire.proto.OperatorItems;
import io.daisyhoist.wire.proto.StoreChanges;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PeerMessagesTest {
    private static final String PREFIX = "o/";

    /** Guards against exceptions, and against state that a damaged message of another daemon leaves behind. */
    @Test
    void decode_damagedLoadReport_isRejected() {
        FleetLoad sound =
                FleetLoad.newBuilder().setDaemon("d1").setKeyBusySlots(2).build();
        assertEquals(
                Decoded.valid(new PeerMessages.LoadReport(new DaemonId("d1"), 2, false, 0, 0, Optional.empty())),
                PeerMessages.decode(sound));
        List.of(
                        FleetLoad.getDefaultInstance(),
                        sound.toBuilder().setDaemon("no name").build(),
                        sound.toBuilder().setKeyBusySlots(Double.NaN).build(),
                        sound.toBuilder().setKeyBusySlots(-1).build(),
                        sound.toBuilder().setOperatorRevision(-1).build(),
                        sound.toBuilder().setFleetRevision(-1).build())
                .forEach(damaged ->
                        assertInstanceOf(Decoded.Rejected.class, PeerMessages.decode(damaged), damaged.toString()));
    }

    /** Guards against items under foreign keys and against a revision that hides later changes. */
    @Test
    void decode_damagedOperatorItems_isRejected() {
        assertInstanceOf(Decoded.Valid.class, PeerMessages.decode(listing("o/a", 5, 9), PREFIX));
        List.of(listing("foreign/key", 5, 9), listing("o/a", 10, 9), listing("o/a", 0, 9), listing("o/a", -1, -1))
                .forEach(damaged -> assertInstanceOf(
                        Decoded.Rejected.class, PeerMessages.decode(damaged, PREFIX), damaged.toString()));
    }

    /** Guards against changes that would hide others, or replace items under another prefix. */
    @Test
    void decode_damagedStoreChanges_isRejected() {
        assertInstanceOf(Decoded.Valid.class, PeerMessages.decode(changes("o/", "o/a", 6, 5, 9)));
        List.of(
                        changes("o/", "foreign/key", 6, 5, 9),
                        changes("o/", "o/a", 5, 5, 9),
                        changes("o/", "o/a", 6, 5, 4),
                        changes("o/", "o/a", 6, -1, 9))
                .forEach(damaged ->
                        assertInstanceOf(Decoded.Rejected.class, PeerMessages.decode(damaged), damaged.toString()));
    }

    private static StoreChanges changes(String prefix, String key, long revision, long from, long asOf) {
        byte[] changes = StoreChanges.ChangeList.newBuilder()
                .addChanges(StoreChanges.Change.newBuilder().setKey(key).setRevision(revision))
                .build()
                .toByteArray();
        return StoreChanges.newBuilder()
                .setPrefix(prefix)
                .setFromRevision(from)
                .setAsOf(asOf)
                .setDeflatedChanges(ByteString.copyFrom(Compression.compress(changes)))
                .build();
    }

    /** Guards against changes that differ after the way to another daemon. */
    @Test
    void decode_encodedStoreChanges_isTheSame() {
        StoredItem item = new StoredItem("o/a", "value".getBytes(StandardCharsets.UTF_8), 6);
        StoreDelta delta = new StoreDelta(
                5, List.of(new StoreEvent("o/a", 6, Optional.of(item)), new StoreEvent("o/b", 7, Optional.empty())), 9);
        StoreChanges message = PeerMessages.storeChanges("o/", delta).getStoreChanges();
        Decoded.Valid<StoreDelta> valid = assertInstanceOf(Decoded.Valid.class, PeerMessages.decode(message));
        assertEquals(delta.asOf(), valid.value().asOf());
        assertArrayEquals(
                item.value(),
                valid.value().changes().get(0).item().orElseThrow().value());
        assertEquals(delta.changes().get(1), valid.value().changes().get(1));
    }

    /** Guards against memory that a small message of another daemon occupies. */
    @Test
    void decompress_largeOrDamagedData_throws() {
        byte[] compressed = Compression.compress(new byte[10_000_000]);
        assertTrue(compressed.length < 100_000, compressed.length + " bytes");
        assertThrows(IllegalArgumentException.class, () -> Compression.decompress(compressed, 1_000_000));
        assertThrows(IllegalArgumentException.class, () -> Compression.decompress(new byte[] {1, 2, 3}, 1_000));
        byte[] cut = Arrays.copyOf(compressed, compressed.length / 2);
        assertThrows(IllegalArgumentException.class, () -> Compression.decompress(cut, 20_000_000));
    }

    private static OperatorItems listing(String key, long revision, long asOf) {
        return OperatorItems.newBuilder()
                .setAsOf(asOf)
                .addItems(OperatorItems.Item.newBuilder().setKey(key).setRevision(revision))
                .build();
    }

    /** Guards against revisions of another era that are taken for those of the receiver's era. */
    @Test
    void decode_messagesOfAnEra_revisionsAreOfThatEra() {
        StoreEra era = new StoreEra(3);
        StoreDelta delta =
                new StoreDelta(era.with(5), List.of(new StoreEvent("o/a", era.with(6), Optional.empty())), era.with(9));
        StoreChanges changes = PeerMessages.storeChanges("o/", delta).getStoreChanges();
        assertEquals(3, changes.getEra());
        assertEquals(6, changes.getFromRevision() + 1);
        assertEquals(Decoded.valid(delta), PeerMessages.decode(changes));

        PeerMessages.LoadReport report = new PeerMessages.LoadReport(
                new DaemonId("d1"), 2, false, new StoreEra(2).with(8), era.with(7), Optional.empty());
        FleetLoad load = PeerMessages.loadReport(report).getFleetLoad();
        assertEquals(List.of(3L, 0L, 7L), List.of(load.getEra(), load.getOperatorRevision(), load.getFleetRevision()));
        assertInstanceOf(
                Decoded.Rejected.class,
                PeerMessages.decode(load.toBuilder().setEra(-1).build()));
    }
}
