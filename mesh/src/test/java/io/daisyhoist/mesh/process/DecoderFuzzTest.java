package io.daisyhoist.mesh.process;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.fuzz.InputMutator;
import io.daisyhoist.core.keyrange.KeyRange;
import io.daisyhoist.core.keyrange.RangeAssignment;
import io.daisyhoist.core.keyrange.RangeTable;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.ManualTimeSource;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.connection.ForwardCodec;
import io.daisyhoist.mesh.store.StoreDelta;
import io.daisyhoist.mesh.store.StoreEvent;
import io.daisyhoist.mesh.store.StoredItem;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.daisyhoist.wire.proto.BackendProcess;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.FleetLoad;
import io.daisyhoist.wire.proto.ForwardRequest;
import io.daisyhoist.wire.proto.ForwardResponse;
import io.daisyhoist.wire.proto.Header;
import io.daisyhoist.wire.proto.OperatorItems;
import io.daisyhoist.wire.proto.Refusal;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Feeds damaged items and messages to the decoders: no exception may leave them, and sound input has to be taken after each.
 * {@code -Ddaisyhoist.fuzz.seed=N} runs another seed.
 */
class DecoderFuzzTest {
    private static final int INPUTS = 10_000;

    private static final FleetMember MEMBER = new FleetMember(
            new DaemonId("odd"),
            7,
            new AvailabilityZone("z"),
            "10.0.0.9",
            1000,
            new ServiceName("s"),
            Optional.of(new FleetMember.MemberBackend("b", 1, 6, true)));
    private static final RangeTable TABLE = new RangeTable(
            new ServiceName("s"),
            9,
            List.of(
                    RangeAssignment.of(
                            new KeyRange(0, 99), new DaemonId("odd"), new BackendProcessId("b", 1), 8, "token"),
                    RangeAssignment.of(
                            new KeyRange(100, 65_535), new DaemonId("odd"), new BackendProcessId("b", 1), 9, "")));

    private final TimeSource time = new ManualTimeSource();
    private final InputMutator mutator = new InputMutator(Long.getLong("daisyhoist.fuzz.seed", 20261205));
    private FleetSnapshot published = FleetSnapshot.EMPTY;
    private int rejections;
    private final FleetState state = new FleetState(
            time,
            new SingleServiceDocuments(),
            Duration.ofSeconds(10),
            snapshot -> published = snapshot,
            () -> rejections++);

    private static String json(Object value) {
        return new String(FleetJson.write(value), StandardCharsets.UTF_8);
    }

    /** Guards against an item of another writer that ends the processing of the items after it. */
    @Test
    void onFleetItem_damagedItems_soundOnesAreTaken() {
        String member = json(MEMBER);
        String table = json(TABLE);
        for (int i = 1; i <= INPUTS; i++) {
            state.onFleetItem(new StoredItem(FleetState.MEMBER_PREFIX + "odd", mutator.mutateJson(member), i));
            state.onFleetItem(new StoredItem(FleetState.RANGE_PREFIX + "s", mutator.mutateJson(table), i));
            DaemonId sound = new DaemonId("sound" + i % 10);
            FleetMember next = new FleetMember(
                    sound, i, MEMBER.availabilityZone(), "10.0.1.1", 1000, MEMBER.service(), MEMBER.backend());
            state.onFleetItem(new StoredItem(FleetState.memberKey(sound), FleetJson.write(next), i));
            assertTrue(published.members().get(sound).incarnation() == i, "input " + i);
        }
        assertTrue(rejections > INPUTS, rejections + " rejections");
        assertTrue(published.members().size() <= 11, published.members().size() + " members");
    }

    /** Guards against exceptions that a damaged message of another daemon causes. */
    @Test
    void decode_damagedPeerMessages_noExceptionLeavesTheDecoders() {
        List<Envelope> sound = List.of(load(), operatorItems(), storeChanges(), forwardRequest(), forwardResponse());
        int decoded = 0;
        for (int i = 0; i < INPUTS; i++) {
            byte[] input = mutator.mutate(sound.get(i % sound.size()).toByteArray());
            try {
                decode(Envelope.parseFrom(input));
                decoded++;
            } catch (InvalidProtocolBufferException e) {
                // The connection is closed; see PeerServerFuzzTest.
            }
        }
        assertTrue(decoded > INPUTS / 10, decoded + " messages were decoded");
    }

    private void decode(Envelope message) {
        PeerMessages.decode(message.getFleetLoad());
        PeerMessages.decode(message.getOperatorItems(), "o/");
        PeerMessages.decode(message.getStoreChanges());
        ForwardCodec.decode(message.getForwardResponse());
        ForwardCodec.load(message.getForwardResponse());
        try {
            ForwardCodec.decode(message.getForwardRequest(), time);
        } catch (IllegalArgumentException e) {
            // The documented rejection; ForwardReceiver replies to it.
        }
    }

    private static Envelope load() {
        return Envelope.newBuilder()
                .setFleetLoad(FleetLoad.newBuilder()
                        .setDaemon("d1")
                        .setKeyBusySlots(2.5)
                        .setKeysFollow(true)
                        .setOperatorRevision(7))
                .build();
    }

    private static Envelope operatorItems() {
        return Envelope.newBuilder()
                .setOperatorItems(OperatorItems.newBuilder()
                        .setAsOf(9)
                        .addItems(OperatorItems.Item.newBuilder()
                                .setKey("o/a")
                                .setValue(ByteString.copyFromUtf8("1"))
                                .setRevision(5)))
                .build();
    }

    private static Envelope storeChanges() {
        StoredItem item = new StoredItem("o/a", FleetJson.write(TABLE), 6);
        return PeerMessages.storeChanges(
                "o/", new StoreDelta(5, List.of(new StoreEvent("o/a", 6, Optional.of(item))), 9));
    }

    private static Envelope forwardRequest() {
        return Envelope.newBuilder()
                .setRequestId(3)
                .setForwardRequest(ForwardRequest.newBuilder()
                        .setService("s")
                        .setKey("77")
                        .setMethod("GET")
                        .setPath("/x?y")
                        .addHeaders(Header.newBuilder().setName("host").setValue("h"))
                        .setRemainingDeadlineMs(500)
                        .setRank("1")
                        .setRequestId("id")
                        .setCallerService("c")
                        .setExpectedBackend(
                                BackendProcess.newBuilder().setId("b").setStartedMs(1)))
                .build();
    }

    private static Envelope forwardResponse() {
        return Envelope.newBuilder()
                .setRequestId(3)
                .setForwardResponse(ForwardResponse.newBuilder()
                        .setRefusal(Refusal.newBuilder()
                                .setRunState("not-run")
                                .setCode("arrived:REJECTED")
                                .setRetryAfterMs(100)))
                .build();
    }
}
