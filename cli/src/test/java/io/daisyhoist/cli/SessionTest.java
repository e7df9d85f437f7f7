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
 * Replays whole sessions of the tool and compares everything that it prints, and its exit codes, with golden files.
 *
 * <p>Lines of a session: {@code $ daisyhoist ...} runs a command; {@code @write FILE} to {@code @end} writes a file;
 * {@code @fail reads|writes FAULT COUNT}, {@code @late}, {@code @race COMMAND}, {@code @stored TEXT} and {@code @admin METHOD PATH BODY} prepare
 * the peers; lines with {@code ##} are remarks; all others are output. {@code -Ddaisyhoist.golden.update=true} writes the
 * files anew; read the difference before committing it.
 */
class SessionTest {
    private static final Path SESSIONS = Path.of("src", "test", "resources", "sessions");
    private static final boolean UPDATE = Boolean.getBoolean("daisyhoist.golden.update");

    @TempDir
    private Path directory;

    private FakePeers peers;
    private Random random;
    private long timeMillis;
    private volatile String rivalOutput = "";

    static List<Path> sessions() throws IOException {
        try (Stream<Path> files = Files.list(SESSIONS)) {
            return files.sorted().toList();
        }
    }

    /** Guards against a change of any output, exit code or safety rule that operators and scripts rely on. */
    @ParameterizedTest
    @MethodSource("sessions")
    void session_matchesGoldenFile(Path file) throws Exception {
        String golden = Files.readString(file);
        String transcript;
        try (FakePeers started = new FakePeers()) {
            peers = started;
            random = new Random(1);
            transcript = replay(golden);
        }
        if (UPDATE) {
            Files.writeString(file, transcript);
            return;
        }
        assertEquals(golden, transcript);
    }

    private String replay(String golden) throws Exception {
        StringBuilder transcript = new StringBuilder();
        Iterator<String> lines = golden.lines().iterator();
        while (lines.hasNext()) {
            String line = lines.next();
            if (line.startsWith("$ daisyhoist") || line.startsWith("@") || line.startsWith("##")) {
                transcript.append(line).append('\n');
            }
            if (line.startsWith("@write ")) {
                transcript.append(write(line.substring(7), lines));
            } else if (line.startsWith("@")) {
                prepare(line.substring(1).split(" ", line.startsWith("@race") ? 2 : 4));
            } else if (line.startsWith("$ daisyhoist")) {
                transcript.append(run(line.substring("$ daisyhoist".length()).strip()));
                transcript.append(rivalOutput.isEmpty() ? "" : "(the other operator)\n" + rivalOutput);
                rivalOutput = "";
            }
        }
        return transcript.toString();
    }

    private String write(String name, Iterator<String> lines) throws IOException {
        StringBuilder content = new StringBuilder();
        for (String line = lines.next(); !line.equals("@end"); line = lines.next()) {
            content.append(line).append('\n');
        }
        Path file = directory.resolve(name);
        Files.createDirectories(file.getParent());
        Files.writeString(file, content);
        return content + "@end\n";
    }

    private void prepare(String[] words) {
        switch (words[0]) {
            case "fail" -> {
                FakePeers.Fault fault = FakePeers.Fault.valueOf(
                        words[2].toUpperCase(Locale.ROOT).replace('-', '_'));
                if (words[1].equals("reads")) {
                    peers.failReads(fault, Integer.parseInt(words[3]));
                } else {
                    peers.failWrites(fault, Integer.parseInt(words[3]));
                }
            }
            case "late" -> peers.deliverLate();
            case "race" ->
                peers.race(() -> rivalOutput =
                        Stream.of(words[1].split(" && ")).map(this::run).collect(Collectors.joining()));
            case "stored" -> peers.replace(ConfigDocument.STORE_KEY, words[1]);
            case "admin" -> peers.answer(words[1] + " " + words[2], words[3]);
            default -> throw new IllegalArgumentException("unknown directive @" + words[0]);
        }
    }

    private String run(String arguments) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        Map<String, String> environment =
                new HashMap<>(Map.of("DAISYHOIST_PLATFORM", peers.url(), "DAISYHOIST_ADMIN", peers.url()));
        Tool tool = new Tool(environment, directory, stream, stream, clock(), random);
        int exitCode = tool.run(arguments.isEmpty() ? new String[0] : arguments.split(" +"));
        String output = bytes.toString(StandardCharsets.UTF_8)
                .replace(peers.url(), "http://peers")
                .replace(peers.url().substring("http://".length()), "peers")
                .replace(directory.toString(), "DIR");
        return output + "exit=" + exitCode + "\n";
    }

    /** Advances by a second with each reading, so that the history shows distinct times. */
    private TimeSource clock() {
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
