package io.daisyhoist.core.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.ServiceName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

class ConfigValidatorTest {
    private static final String SERVICE = """
            [services.s]
            partitions = 8
            slots = 4
            checks_fence = true
            """;

    private static ConfigFile file(String name, String content) {
        return new ConfigFile(name, content, 1, "anna");
    }

    private static EffectiveConfig effective(ConfigFile... files) {
        return ConfigDocuments.effective(new ConfigDocument(7, List.of(files), List.of()));
    }

    private static List<String> faults(ConfigFile... files) {
        return assertThrows(InvalidConfigException.class, () -> effective(files)).faults().stream()
                .map(fault -> fault.file() + " " + fault.key())
                .toList();
    }

    @Nested
    class Merge {
        /** Guards against merging in push order, replacing whole tables, or appending to arrays. */
        @Test
        void merge_laterFileName_overridesSingleKeysAndReplacesArrays() {
            EffectiveConfig config = effective(
                    file("20.toml", "[services.s]\nslots = 9\nunrepeatable_methods = [\"PUT\"]\n"),
                    file("10.toml", SERVICE + "unrepeatable_methods = [\"POST\", \"PATCH\"]\n"));
            ServiceSettings service = config.service(new ServiceName("s")).orElseThrow();
            assertEquals(7, config.version());
            assertEquals(9, service.slots());
            assertEquals(8, service.partitions());
            assertEquals(Set.of("PUT"), service.unrepeatableMethods());
            assertEquals(Duration.ofSeconds(5), service.requestTimeout());
        }

        /** Guards against a single wrong line that removes all services. */
        @Test
        void merge_valueInPlaceOfTable_reportsFaultInLaterFile() {
            assertEquals(
                    List.of("20.toml services"), faults(file("10.toml", SERVICE), file("20.toml", "services = 1")));
            assertEquals(
                    List.of("20.toml services"), faults(file("10.toml", SERVICE), file("20.toml", "services = []")));
        }
    }

    @Nested
    class Validate {
        /** Guards against a validation that stops at the first fault or reports the wrong file. */
        @Test
        void validate_manyFaults_listsAllWithTheFileThatSetTheValue() {
            assertEquals(
                    List.of(
                            "10.toml services.s.slot",
                            "10.toml workers.w.service",
                            "20.toml services.s.cold_limit",
                            "20.toml services.t.checks_fence",
                            "20.toml services.t.slots",
                            "20.toml zones.\"a b\"",
                            "20.toml zones.z.state",
                            "30.toml workers.w.zone"),
                    faults(
                            file("10.toml", SERVICE + "slot = 1\n[workers.w]\nservice = \"r\"\nzone = \"z\"\n"),
                            file(
                                    "20.toml",
                                    "[services]\ns.cold_limit = 5\nt.partitions = 1\n"
                                            + "[zones]\nz.state = \"off\"\n\"a b\".state = \"in\""),
                            file("30.toml", "workers.w.zone = \"y\"")));
        }

        /** Guards against reporting names as missing that an unreadable file may define. */
        @Test
        void validate_unreadableFile_reportsNoMissingReferences() {
            assertEquals(
                    List.of("10.toml "),
                    faults(
                            file("10.toml", "[zones"),
                            file("20.toml", SERVICE + "[workers]\nw = {service=\"s\",zone=\"z\"}")));
        }

        @ParameterizedTest
        @CsvSource({"hvalsnes,10,6", "korkwerk,9,9"})
        void validate_examples_areValid(String folder, int workers, int slots) throws IOException {
            List<ConfigFile> files = new ArrayList<>();
            try (Stream<Path> paths = Files.list(Path.of("..", "examples", folder))) {
                for (Path path : paths.toList()) {
                    files.add(file(path.getFileName().toString(), Files.readString(path)));
                }
            }
            EffectiveConfig config = effective(files.toArray(ConfigFile[]::new));
            assertEquals(3, config.services().size());
            assertEquals(workers, config.workers().size());
            config.services().values().forEach(service -> assertEquals(slots, service.slots()));
            config.services().values().forEach(service -> assertEquals(false, service.isRepeatable("POST")));
        }
    }

    @Nested
    class Json {
        /** Guards against a JSON encoding that loses a field or rejects fields added by a newer release. */
        @Test
        void json_roundTripWithUnknownField_keepsAllKnownFields() {
            ConfigDocument document = new ConfigDocument(
                    3,
                    List.of(file("b.toml", "zones.z.state = \"out\"\n"), file("a.toml", "")),
                    List.of(new ConfigChange(3, "id", List.of("b.toml"), "anna", Instant.ofEpochMilli(5))));
            String json = ConfigDocuments.toJson(document);
            assertEquals(
                    "{\"version\":3,\"files\":[{\"name\":\"a.toml\",\"content\":\"\",\"revision\":1,\"author\":\"anna\"},"
                            + "{\"name\":\"b.toml\",\"content\":\"zones.z.state = \\\"out\\\"\\n\",\"revision\":1,"
                            + "\"author\":\"anna\"}],\"changes\":[{\"version\":3,\"push_id\":\"id\","
                            + "\"files\":[\"b.toml\"],\"author\":\"anna\",\"time\":\"1970-01-01T00:00:00.005Z\"}]}",
                    json);
            assertEquals(
                    document, ConfigDocuments.fromJson(json.replace("{\"version\":3,", "{\"version\":3,\"x\":1,")));
            assertEquals(
                    Map.of(new AvailabilityZone("z"), ZoneState.OUT),
                    ConfigDocuments.effective(document).zones());
        }

        /** Guards against an untyped exception, or an empty configuration, when the stored value is damaged. */
        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                value = {
                    "null",
                    "[]",
                    "{",
                    "7",
                    "{}",
                    "{\"version\":1}",
                    "''",
                    "{\"version\":1,\"files\":[null],\"changes\":[]}",
                    "{\"version\":1,\"files\":null,\"changes\":null}",
                    "{\"version\":1,\"files\":[{}],\"changes\":[]}",
                    "{\"version\":1,\"files\":[],\"changes\":[{\"version\":1,\"push_id\":\"a\",\"files\":[],\"author\":\"a\","
                            + "\"time\":\"noon\"}]}"
                })
        void fromJson_damagedDocument_throwsInvalidConfiguration(String json) {
            DaisyhoistException e = assertThrows(DaisyhoistException.class, () -> ConfigDocuments.fromJson(json));
            assertEquals(ErrorCode.INVALID_CONFIGURATION, e.code());
        }
    }
}
