package io.daisyhoist.mesh.process;

import java.util.List;

import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.mesh.store.Decoded;
import io.daisyhoist.wire.proto.FleetLoad;
import io.daisyhoist.wire.proto.OperatorItems;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

class PeerMessagesTest {
    private static final String PREFIX = "o/";

    /** Guards against exceptions, and against state that a damaged message of another daemon leaves behind. */
    @Test
    void decode_damagedLoadReport_isRejected() {
        FleetLoad sound =
                FleetLoad.newBuilder().setDaemon("d1").setKeyBusySlots(2).build();
        assertEquals(
                Decoded.valid(new PeerMessages.LoadReport(new DaemonId("d1"), 2, false, 0)),
                PeerMessages.decode(sound));
        List.of(
                        FleetLoad.getDefaultInstance(),
                        sound.toBuilder().setDaemon("no name").build(),
                        sound.toBuilder().setKeyBusySlots(Double.NaN).build(),
                        sound.toBuilder().setKeyBusySlots(-1).build(),
                        sound.toBuilder().setOperatorRevision(-1).build())
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

    private static OperatorItems listing(String key, long revision, long asOf) {
        return OperatorItems.newBuilder()
                .setAsOf(asOf)
                .addItems(OperatorItems.Item.newBuilder().setKey(key).setRevision(revision))
                .build();
    }
}
