package io.daisyhoist.daemon.process.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import io.daisyhoist.core.client.ConnectionBounds;
import io.daisyhoist.core.config.InvalidConfigException;
import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;
import io.daisyhoist.core.route.ClientLimits;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class DaemonSettingsTest {
    private static final String REQUIRED = """
            daemon_id = "archive-1"
            zone = "heimaey"
            service = "fault-archive"
            platform_urls = ["http://127.0.0.1:7000"]
            backend_url = "http://127.0.0.1:9000"
            """;

    private static final int MUTATION_ROUNDS = 20_000;
    private static final List<String> MUTATION_FRAGMENTS = List.of(
            "",
            "x",
            "\"",
            "=",
            "[",
            "]",
            ".",
            "\\u0000",
            "\0",
            ":",
            "/",
            "%",
            " ",
            "\n",
            "0",
            "-1",
            "99999999999999999999",
            "[lease]",
            "true",
            "http://",
            "@",
            "é",
            "::1",
            "{",
            "}",
            "#",
            "nan");

    @Nested
    class Parse {
        /** Guards against defaults that drift from the documented ones. */
        @Test
        void parse_requiredKeysOnly_usesDefaults() {
            DaemonSettings settings = DaemonSettings.parse("d.toml", REQUIRED);
            assertEquals("daisyhoist", settings.cluster());
            assertEquals("127.0.0.1:8080", settings.httpEndpoint().toString());
            assertEquals("127.0.0.1:8081", settings.adminEndpoint().toString());
            assertEquals("127.0.0.1:8082", settings.peerEndpoint().toString());
            assertEquals(new LeaseOptions(Duration.ofMillis(700), Duration.ofMillis(2100), 3), settings.lease());
            int connections = Math.min(2_048, Descriptors.max() / 3);
            assertEquals(
                    new LimitOptions(
                            new ClientLimits(16_384, 1 << 20, Duration.ofSeconds(10), Duration.ofSeconds(75)),
                            new ConnectionBounds(16_384, 16_384, 256, connections, connections * 3 / 4),
                            10_000,
                            Duration.ofSeconds(20)),
                    settings.limits());
            assertEquals(LogLevel.INFO, settings.logLevel());
            assertEquals(Optional.empty(), settings.traceFile());
        }

        /** Guards against reporting only the first error and against accepting a misspelled key. */
        @Test
        void parse_manyFaults_listsAllWithFileKeyAndReason() {
            String toml = """
                    daemon_id = "archive 1"
                    service = 7
                    http_prot = 8080
                    host = "localhost"
                    admin_port = 8080
                    platform_urls = ["ftp://x"]
                    backend_url = "http://127.0.0.1:9000/base"
                    log_level = "loud"
                    [lease]
                    heartbeat_ms = 1500
                    witnesses = 4
                    [limits]
                    max_body_bytes = "1 MB"
                    """;
            List<String> faults =
                    assertThrows(InvalidConfigException.class, () -> DaemonSettings.parse("d.toml", toml))
                            .faults()
                            .stream()
                            .map(fault -> fault.file() + " " + fault.key())
                            .sorted()
                            .toList();
            assertEquals(
                    List.of(
                            "d.toml admin_port",
                            "d.toml backend_url",
                            "d.toml daemon_id",
                            "d.toml host",
                            "d.toml http_prot",
                            "d.toml lease.lease_ttl_ms",
                            "d.toml lease.witnesses",
                            "d.toml limits.max_body_bytes",
                            "d.toml log_level",
                            "d.toml platform_urls",
                            "d.toml service",
                            "d.toml zone"),
                    faults);
        }

        /** Guards against reporting every required key as missing if the file has a syntax error. */
        @Test
        void parse_syntaxError_listsOnlyTheSyntaxError() {
            InvalidConfigException e = assertThrows(
                    InvalidConfigException.class, () -> DaemonSettings.parse("d.toml", REQUIRED + "zone = \"b\"\n"));
            assertEquals(1, e.faults().size(), e.getMessage());
        }

        /** Guards against an unchecked exception for a path that is invalid on the file system. */
        @Test
        void parse_traceFileWithNulCharacter_isReported() {
            InvalidConfigException e = assertThrows(
                    InvalidConfigException.class,
                    () -> DaemonSettings.parse("d.toml", REQUIRED + "trace_file = \"a\\u0000b\"\n"));
            assertEquals("trace_file", e.faults().get(0).key());
        }

        /** Guards against an exception without file name and reason for a malformed settings file. */
        @Test
        void parse_mutatedSettings_givesSettingsOrBoundedFaults() {
            int valid = 0;
            for (int seed = 0; seed < MUTATION_ROUNDS; seed++) {
                Random random = new Random(seed);
                StringBuilder toml = new StringBuilder(REQUIRED + "trace_file = \"t\"\n[lease]\nwitnesses = 5\n");
                for (int i = random.nextInt(3); i >= 0; i--) {
                    int from = random.nextInt(toml.length());
                    int to = Math.min(toml.length(), from + random.nextInt(6));
                    toml.replace(from, to, MUTATION_FRAGMENTS.get(random.nextInt(MUTATION_FRAGMENTS.size())));
                }
                valid += isValid(toml.toString(), seed) ? 1 : 0;
            }
            assertTrue(
                    valid > 0 && valid < MUTATION_ROUNDS,
                    "both valid and invalid settings must occur; valid: " + valid);
        }

        private boolean isValid(String toml, int seed) {
            try {
                DaemonSettings.parse("d.toml", toml);
                return true;
            } catch (InvalidConfigException e) {
                assertTrue(e.faults().size() <= InvalidConfigException.MAX_FAULTS + 1, "seed " + seed);
                e.faults().forEach(fault -> assertEquals("d.toml", fault.file(), "seed " + seed));
                return false;
            } catch (RuntimeException e) {
                throw new AssertionError("seed " + seed + ": " + toml, e);
            }
        }
    }

    @Nested
    class Load {
        /** Guards against reporting a nonexistent path as anything but a usage error. */
        @Test
        void load_missingFile_isAUsageError() {
            DaisyhoistException e = assertThrows(
                    DaisyhoistException.class, () -> DaemonSettings.load(Path.of("no-such-directory", "d.toml")));
            assertEquals(ErrorCode.USAGE, e.code());
        }
    }
}
