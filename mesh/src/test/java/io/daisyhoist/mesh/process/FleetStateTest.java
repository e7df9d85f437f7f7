package io.daisyhoist.mesh.process;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.route.ClientLimits;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.route.RouteTable;
import io.daisyhoist.core.time.ManualTimeSource;
import io.daisyhoist.mesh.store.Decoded;
import io.daisyhoist.mesh.store.OperatorDocuments;
import io.daisyhoist.mesh.store.StoreEra;
import io.daisyhoist.mesh.store.StoredItem;
import io.daisyhoist.mesh.version.FleetSnapshot;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FleetStateTest {
    private static final Duration MEMBER_EXPIRY = Duration.ofSeconds(10);

    private final ManualTimeSource time = new ManualTimeSource();
    private FleetSnapshot published = FleetSnapshot.EMPTY;
    private int publications;
    private int rejections;
    private final FleetState state =
            new FleetState(time, new Documents(), MEMBER_EXPIRY, this::onPublish, () -> rejections++);

    private void onPublish(FleetSnapshot snapshot) {
        published = snapshot;
        publications++;
    }

    /** Reads the value of a configuration item as its version, and all other keys as evacuated availability zones. */
    private static final class Documents implements OperatorDocuments {
        @Override
        public String prefix() {
            return "o/";
        }

        @Override
        public Decoded<Document> read(StoredItem item) {
            if (!item.key().equals("o/config")) {
                return Decoded.valid(new EvacuatedZone(evacuatedZone(item.key()).orElseThrow()));
            }
            long version = Long.parseLong(new String(item.value(), StandardCharsets.UTF_8));
            return Decoded.valid(new Configuration(
                    new FleetConfig(version, new RouteTable(List.of()), Map.of(), ClientLimits.DEFAULT)));
        }

        @Override
        public Optional<AvailabilityZone> evacuatedZone(String key) {
            return Optional.of(new AvailabilityZone(key.substring("o/".length())));
        }
    }

    private static StoredItem item(String key, String value) {
        return new StoredItem(key, value.getBytes(StandardCharsets.UTF_8), 1);
    }

    private static StoredItem memberItem(String name, String host) {
        FleetMember member = new FleetMember(
                new DaemonId(name),
                1,
                new AvailabilityZone("z"),
                host,
                1000,
                new ServiceName("s"),
                Optional.of(new FleetMember.MemberBackend("b-" + name, 1, 6, true)));
        return new StoredItem(FleetState.memberKey(member.daemon()), FleetJson.write(member), 1);
    }

    private boolean isMember(String name) {
        return published.members().containsKey(new DaemonId(name));
    }

    @Nested
    class Configuration {
        /** Guards against replacing the configuration by an older version. */
        @Test
        void onOperatorItem_olderVersion_isIgnored() {
            state.onOperatorItem(item("o/config", "7"));
            state.onOperatorItem(item("o/config", "5"));
            assertEquals(7, published.config().orElseThrow().version());
        }

        @Test
        void onOperatorItem_evacuatedZone_hasNoCandidatesUntilDeleted() {
            AvailabilityZone zone = new AvailabilityZone("z");
            state.onFleetItem(memberItem("d", "10.0.0.1"));
            state.onOperatorItem(item("o/z", ""));
            assertTrue(published.isEvacuated(zone));
            assertTrue(published.candidates(new ServiceName("s")).isEmpty());
            state.onOperatorDeleted("o/z");
            assertEquals(1, published.candidates(new ServiceName("s")).size());
        }
    }

    @Nested
    class NewEra {
        private final StoreEra era = new StoreEra(2);

        private StoredItem inEra(StoredItem item, long revision) {
            return new StoredItem(item.key(), item.value(), era.with(revision));
        }

        private StoredItem creation(String value, long revision) {
            return inEra(item(FleetState.creationKey(new DaemonId("d")), value), revision);
        }

        private String hostOfMember() {
            return published.members().get(new DaemonId("d")).peerHost();
        }

        @BeforeEach
        void enter() {
            state.onFleetItem(memberItem("d", "10.0.0.1"));
            state.onOperatorItem(item("o/z", ""));
            state.onEra(era);
        }

        /** Guards against requests to an evacuated zone between the return of the store and the operator's next write. */
        @Test
        void onOperatorItemLost_evacuation_staysUntilOperatorsHadTimeToWriteIt() {
            state.onOperatorItemLost("o/z");
            time.advance(Duration.ofSeconds(5));
            state.removeExpired();
            assertTrue(published.isEvacuated(new AvailabilityZone("z")));
            time.advance(Duration.ofMillis(1));
            state.removeExpired();
            assertFalse(published.isEvacuated(new AvailabilityZone("z")));
        }

        @Test
        void onOperatorItem_lostEvacuationWrittenAgain_stays() {
            state.onOperatorItemLost("o/z");
            state.onOperatorItem(item("o/z", ""));
            time.advance(Duration.ofSeconds(20));
            state.removeExpired();
            assertTrue(published.isEvacuated(new AvailabilityZone("z")));
        }

        /** Guards against an entry of the copy that shows a backend server or an address as it was before. */
        @Test
        void onFleetItem_entryOfTheCopy_doesNotReplaceWhatIsKnown() {
            state.onFleetItem(creation("1", 4));
            state.onFleetItem(inEra(memberItem("d", "10.0.0.2"), 5));
            assertEquals("10.0.0.1", hostOfMember());
            assertTrue(state.isAbsent(new DaemonId("d")));
        }

        /** Guards against a daemon that stays absent because its creation record arrives behind its entry. */
        @Test
        void onFleetItem_recordBehindItsEntry_entryIsTaken() {
            state.onFleetItem(inEra(memberItem("d", "10.0.0.2"), 5));
            state.onFleetItem(creation("2", 5));
            assertEquals("10.0.0.2", hostOfMember());
            assertFalse(state.isAbsent(new DaemonId("d")));
        }
    }

    @Nested
    class Members {
        /** Guards against removing members when an outage of the store has expired their entries. */
        @Test
        void onFleetDeleted_absentMember_isRemovedAfterExpiry() {
            state.onFleetItem(memberItem("d", "10.0.0.1"));
            state.onFleetDeleted(FleetState.MEMBER_PREFIX + "d");
            time.advance(MEMBER_EXPIRY);
            state.removeExpired();
            assertTrue(isMember("d"));
            time.advance(Duration.ofMillis(1));
            state.removeExpired();
            assertFalse(isMember("d"));
        }

        @Test
        void onFleetItem_memberReturns_isNotRemoved() {
            state.onFleetItem(memberItem("d", "10.0.0.1"));
            state.onFleetDeleted(FleetState.MEMBER_PREFIX + "d");
            state.onFleetItem(memberItem("d", "10.0.0.1"));
            time.advance(MEMBER_EXPIRY.multipliedBy(2));
            state.removeExpired();
            assertTrue(isMember("d"));
        }

        /** Guards against requests for a lost instance that reach the daemon which now uses its address. */
        @Test
        void onFleetItem_addressOfAnAbsentMember_replacesIt() {
            state.onFleetItem(memberItem("old", "10.0.0.1"));
            state.onFleetDeleted(FleetState.MEMBER_PREFIX + "old");
            state.onFleetItem(memberItem("new", "10.0.0.1"));
            assertFalse(isMember("old"));
            assertTrue(isMember("new"));
        }

        /** Guards against work that grows with the square of the fleet when all daemons register at once. */
        @Test
        void applyBatch_manyMembers_publishesOnce() {
            state.applyBatch(() -> {
                for (int i = 0; i < 60; i++) {
                    state.onFleetItem(memberItem("d" + i, "10.0.0." + i));
                }
            });
            assertEquals(60, published.members().size());
            assertEquals(1, publications);
        }

        /** Guards against a malformed item that terminates the process or removes known state. */
        @Test
        void onFleetItem_unreadable_changesNothing() {
            state.onFleetItem(memberItem("d", "10.0.0.1"));
            state.onFleetItem(item(FleetState.MEMBER_PREFIX + "e", "{"));
            state.onFleetItem(item(FleetState.RANGE_PREFIX + "s", "[]"));
            assertTrue(isMember("d"));
            assertEquals(Optional.empty(), state.table(new ServiceName("s")));
        }
    }

    /** Entries that another writer left among those of the daemons. */
    @Nested
    class OddEntries {
        private static final String MEMBER = "{\"daemon\":\"odd\",\"incarnation\":1,\"availabilityZone\":\"z\","
                + "\"peerHost\":\"10.0.0.9\",\"peerPort\":1000,\"service\":\"s\",\"backend\":"
                + "{\"id\":\"b\",\"startedMillis\":1,\"slots\":6,\"accepting\":true}}";
        private static final String TABLE = "{\"service\":\"s\",\"lastFence\":7,\"assignments\":[{\"from\":0,"
                + "\"to\":9,\"daemon\":\"d\",\"backendId\":\"b\",\"backendStartedMillis\":1,\"fence\":7,"
                + "\"handoverToken\":\"\"}]}";

        private static final String DEEP = "[".repeat(5_000) + "]".repeat(5_000);

        static Stream<String> members() {
            return Stream.of(
                    "",
                    "null",
                    "{}",
                    "[]",
                    "7",
                    "\u0000",
                    DEEP,
                    MEMBER.replace("\"incarnation\":1", "\"unknown\":" + DEEP),
                    MEMBER.replace("\"incarnation\":1", "\"incarnation\":1e999999999"),
                    MEMBER.replace("\"incarnation\":1", "\"incarnation\":" + "9".repeat(900)),
                    MEMBER.replace("\"incarnation\":1", "\"incarnation\":1.5"),
                    MEMBER.replace("\"incarnation\":1", "\"incarnation\":null"),
                    MEMBER.replace("\"daemon\":\"odd\"", "\"daemon\":null"),
                    MEMBER.replace("\"daemon\":\"odd\"", "\"daemon\":\"sound\""),
                    MEMBER.replace("\"z\"", "null"),
                    MEMBER.replace("\"z\"", "7"),
                    MEMBER.replace("\"10.0.0.9\"", "null"),
                    MEMBER.replace("\"10.0.0.9\"", "\"\""),
                    MEMBER.replace("1000", "70000"),
                    MEMBER.replace("1000", "-1"),
                    MEMBER.replace("1000", "0"),
                    MEMBER.replace("1000", "\"1000\""),
                    MEMBER.replace("\"s\"", "null"),
                    MEMBER.replace("\"id\":\"b\"", "\"id\":\"line\\nbreak\""),
                    MEMBER.replace("\"id\":\"b\"", "\"id\":\"" + "b".repeat(300) + "\""),
                    MEMBER.replace("\"slots\":6", "\"slots\":0"),
                    MEMBER.replace("\"slots\":6", "\"slots\":4294967302"),
                    MEMBER.replace(",\"slots\":6", ""));
        }

        static Stream<String> tables() {
            return Stream.of(
                    "null",
                    "{}",
                    "[]",
                    DEEP,
                    TABLE.replace("\"service\":\"s\"", "\"service\":\"other\""),
                    TABLE.replace("\"lastFence\":7", "\"lastFence\":6"),
                    TABLE.replace("\"lastFence\":7", "\"lastFence\":1e999999999"),
                    TABLE.replace("\"from\":0", "\"from\":-1"),
                    TABLE.replace("\"from\":0,", ""),
                    TABLE.replace("\"to\":9", "\"to\":65536"),
                    TABLE.replace("\"daemon\":\"d\"", "\"daemon\":null"),
                    TABLE.replace("\"backendId\":\"b\"", "\"backendId\":null"),
                    TABLE.replace("\"handoverToken\":\"\"", "\"handoverToken\":null"),
                    "{\"service\":\"s\",\"lastFence\":7,\"assignments\":[null]}",
                    "{\"service\":\"s\",\"lastFence\":7,\"assignments\":null}");
        }

        /** Guards against one odd entry that stops the processing of the entries after it. */
        @ParameterizedTest
        @MethodSource("members")
        void onFleetItem_oddMember_isIgnoredAndTheNextIsTaken(String odd) {
            state.onFleetItem(memberItem("sound", "10.0.0.1"));
            state.onFleetItem(item(FleetState.MEMBER_PREFIX + "odd", odd));
            state.onFleetItem(memberItem("next", "10.0.0.2"));
            assertEquals(
                    Set.of("sound", "next"),
                    published.members().keySet().stream().map(DaemonId::name).collect(Collectors.toSet()));
            assertEquals(
                    "10.0.0.1", published.members().get(new DaemonId("sound")).peerHost());
            assertEquals(1, rejections);
        }

        @ParameterizedTest
        @MethodSource("tables")
        void onFleetItem_oddTable_isIgnored(String odd) {
            state.onFleetItem(item(FleetState.RANGE_PREFIX + "s", odd));
            assertEquals(Optional.empty(), state.table(new ServiceName("s")));
            assertEquals(1, rejections);
        }

        /** Guards against entries that are odd for another reason than the one intended here. */
        @Test
        void onFleetItem_templatesOfTheOddEntries_areValid() {
            state.onFleetItem(item(FleetState.MEMBER_PREFIX + "odd", MEMBER));
            state.onFleetItem(item(FleetState.RANGE_PREFIX + "s", TABLE));
            assertTrue(isMember("odd"));
            assertTrue(state.table(new ServiceName("s")).isPresent());
            assertEquals(0, rejections);
        }
    }
}
