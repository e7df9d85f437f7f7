package io.daisyhoist.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.daisyhoist.core.config.ConfigDocument;
import io.daisyhoist.core.time.TimeSource;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Replays sessions of the command-line tool and compares their output and exit codes with golden files.
 *
 * <p>Lines of a golden file: {@code $ daisyhoist ...} runs a command; {@code @write FILE} to {@code @end} writes a
 * file; {@code @fail reads|writes FAULT COUNT}, {@code @late}, {@code @race COMMAND}, {@code @stored TEXT} and
 * {@code @admin METHOD PATH BODY} prepare the fake server; lines with {@code ##} are comments; all others are output.
 * {@code -Ddaisyhoist.golden.update=true} rewrites the files; review the difference before committing it.
 */
class SessionTest {
    private static final Path SESSIONS = Path.of("src", "test", "resources", "sessions");
    private static final boolean UPDATE = Boolean.getBoolean("daisyhoist.golden.update");

    @TempDir
    private Path directory;

    private FakeServer server;
    private Random random;
    private long timeMillis;
    private volatile String concurrentOutput = "";

    static List<Path> sessions() throws IOException {
        try (Stream<Path> files = Files.list(SESSIONS)) {
            return files.sorted().toList();
        }
    }

    /** Guards against unintended changes of output, exit codes or safety rules that operators and scripts rely on. */
    @ParameterizedTest
    @MethodSource("sessions")
    void session_matchesGoldenFile(Path file) throws Exception {
        String golden = Files.readString(file);
        String transcript;
        try (FakeServer started = new FakeServer()) {
            server = started;
            random = new Random(1);
            transcript = replaySession(golden);
        }
        if (UPDATE) {
            Files.writeString(file, transcript);
            return;
        }
        assertEquals(golden, transcript);
    }

    private String replaySession(String golden) throws Exception {
        StringBuilder transcript = new StringBuilder();
        Iterator<String> lines = golden.lines().iterator();
        while (lines.hasNext()) {
            String line = lines.next();
            if (line.startsWith("$ daisyhoist") || line.startsWith("@") || line.startsWith("##")) {
                transcript.append(line).append('\n');
            }
            if (line.startsWith("@write ")) {
                transcript.append(writeFile(line.substring(7), lines));
            } else if (line.startsWith("@")) {
                runDirective(line.substring(1).split(" ", line.startsWith("@race") ? 2 : 4));
            } else if (line.startsWith("$ daisyhoist")) {
                transcript.append(
                        runCommand(line.substring("$ daisyhoist".length()).strip()));
                transcript.append(concurrentOutput.isEmpty() ? "" : "(the other operator)\n" + concurrentOutput);
                concurrentOutput = "";
            }
        }
        return transcript.toString();
    }

    private String writeFile(String name, Iterator<String> lines) throws IOException {
        StringBuilder content = new StringBuilder();
        for (String line = lines.next(); !line.equals("@end"); line = lines.next()) {
            content.append(line).append('\n');
        }
        Path file = directory.resolve(name);
        Files.createDirectories(file.getParent());
        Files.writeString(file, content);
        return content + "@end\n";
    }

    private void runDirective(String[] words) {
        switch (words[0]) {
            case "fail" -> {
                FakeServer.Fault fault = FakeServer.Fault.valueOf(
                        words[2].toUpperCase(Locale.ROOT).replace('-', '_'));
                if (words[1].equals("reads")) {
                    server.failReads(fault, Integer.parseInt(words[3]));
                } else {
                    server.failWrites(fault, Integer.parseInt(words[3]));
                }
            }
            case "late" -> server.deliverDelayedRequests();
            case "race" ->
                server.runDuringNextWrite(() -> concurrentOutput =
                        Stream.of(words[1].split(" && ")).map(this::runCommand).collect(Collectors.joining()));
            case "stored" -> server.putValue(ConfigDocument.STORE_KEY, words[1]);
            case "admin" -> server.setAdminResponse(words[1] + " " + words[2], words[3]);
            default -> throw new IllegalArgumentException("unknown directive @" + words[0]);
        }
    }

    private String runCommand(String arguments) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream printStream = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        Map<String, String> environment =
                new HashMap<>(Map.of("DAISYHOIST_PLATFORM", server.url(), "DAISYHOIST_ADMIN", server.url()));
        CommandLineRunner runner =
                new CommandLineRunner(environment, directory, printStream, printStream, steppingTimeSource(), random);
        int exitCode = runner.run(arguments.isEmpty() ? new String[0] : arguments.split(" +"));
        String output = bytes.toString(StandardCharsets.UTF_8)
                .replace(server.url(), "http://peers")
                .replace(server.url().substring("http://".length()), "peers")
                .replace(directory.toString(), "DIR");
        return output + "exit=" + exitCode + "\n";
    }

    /** Returns a clock that advances by one second per reading, so that changes have distinct timestamps. */
    private TimeSource steppingTimeSource() {
        return new TimeSource() {
            @Override
            public long monotonicNanos() {
                return timeMillis * 1_000_000;
            }

            @Override
            public Instant wallTime() {
                timeMillis += 1_000;
                return Instant.parse("2026-12-04T03:00:00Z").plusMillis(timeMillis);
            }
        };
    }
}
