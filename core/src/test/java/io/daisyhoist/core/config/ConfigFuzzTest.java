package io.daisyhoist.core.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Fuzzes the merger and the validator with mutated TOML. */
class ConfigFuzzTest {
    private static final int SEEDS = Integer.getInteger("daisyhoist.fuzz.seeds", 30_000);
    private static final String VALID_TOML = """
            # services
            [services.s]
            keyed = true
            partitions = 8
            slots = 4
            checks_fence = true
            unrepeatable_methods = ["POST", "PATCH"]
            request_timeout_ms = 5_000
            [zones]
            a.state = "in"
            "b" = { state = "out" }
            [workers.w-1]
            service = "s"
            zone = 'a'
            """;
    private static final List<String> FRAGMENTS = List.of(
            "[",
            "]",
            "[[",
            "]]",
            "{",
            "}",
            "=",
            ".",
            ",",
            "\"",
            "'",
            "\"\"\"",
            "'''",
            "\\",
            "\\u",
            "\\uD800",
            "\\UFFFFFFFF",
            "#",
            "\n",
            "\r",
            "\t",
            "\0",
            "\u007f",
            "\ud83d",
            "\ufeff",
            "é",
            "=\n",
            "[services]",
            "[[services.s]]",
            "[services.s]",
            "[zones.a.b.c]",
            "services = 1",
            "zones = []",
            "1979-05-27T07:32:00Z",
            "1979-13-45",
            "25:61:61",
            "0x",
            "0xFFFFFFFFFFFFFFFFFF",
            "0o9",
            "1e999999999",
            "1e-999999999",
            "-0",
            "+nan",
            "inf",
            "1__0",
            "_1",
            ".5",
            "999999999999999999999999999",
            "true",
            "nul",
            "a.a.a.a.a.a=1",
            "[a.a.a]",
            "[[a]]\n[a]",
            "[".repeat(3_000),
            "a.".repeat(500_000),
            "a.".repeat(3_000) + "a=1\n",
            "a.".repeat(3_000),
            "{a=".repeat(3_000),
            "9".repeat(2_000),
            "x".repeat(5_000));

    /** Guards against exceptions that name no file or reason, unbounded fault reports, and parsing that never ends. */
    @Test
    void effective_mutatedToml_givesAResultOrBoundedTypedFaults() {
        int[] counts = new int[2];
        assertTimeoutPreemptively(Duration.ofSeconds(60), () -> {
            for (int seed = 0; seed < SEEDS; seed++) {
                counts[isValid(seed) ? 0 : 1]++;
            }
        });
        System.out.println("event=config-fuzz seeds=" + SEEDS + " valid=" + counts[0] + " invalid=" + counts[1]);
        assertTrue(counts[0] > 0 && counts[1] > 0, "both results must have been exercised");
    }

    private static boolean isValid(int seed) {
        Random random = new Random(seed);
        List<ConfigFile> files = new ArrayList<>(List.of(new ConfigFile("a.toml", mutated(random), 1, "anna")));
        if (random.nextBoolean()) {
            files.add(new ConfigFile("b.toml", mutated(random), 1, "anna"));
        }
        try {
            ConfigDocuments.effective(new ConfigDocument(1, files, List.of()));
            return true;
        } catch (InvalidConfigException e) {
            assertTrue(
                    !e.faults().isEmpty() && e.faults().size() <= InvalidConfigException.MAX_FAULTS + 1,
                    "seed " + seed);
            for (ConfigFault fault : e.faults()) {
                assertTrue(
                        !fault.file().isEmpty()
                                && !fault.reason().isBlank()
                                && fault.toString().length() < 1_000,
                        "seed " + seed + ": " + fault);
            }
            return false;
        } catch (RuntimeException | StackOverflowError e) {
            throw new AssertionError("seed " + seed, e);
        }
    }

    private static String mutated(Random random) {
        StringBuilder text = new StringBuilder(VALID_TOML);
        for (int i = random.nextInt(5); i > 0; i--) {
            mutate(text, random);
        }
        return text.toString();
    }

    private static void mutate(StringBuilder text, Random random) {
        int from = random.nextInt(text.length() + 1);
        int to = Math.min(text.length(), from + random.nextInt(12));
        switch (random.nextInt(6)) {
            case 0 -> text.delete(from, to);
            case 1 -> text.insert(from, text.substring(from, to));
            case 2 -> text.insert(from, FRAGMENTS.get(random.nextInt(FRAGMENTS.size())));
            case 3 -> text.replace(from, to, FRAGMENTS.get(random.nextInt(FRAGMENTS.size())));
            case 4 -> {
                int equals = Math.max(0, text.indexOf("=", from));
                int end = Math.max(equals, text.indexOf("\n", equals));
                text.replace(equals, end, "=" + FRAGMENTS.get(random.nextInt(FRAGMENTS.size())));
            }
            default -> text.insert(from, (char) random.nextInt(1 << 16));
        }
    }
}
