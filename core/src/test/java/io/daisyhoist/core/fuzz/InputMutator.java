package io.daisyhoist.core.fuzz;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;

/** Damages sound input for decoder tests: cut, doubled and changed bytes, and odd JSON values. Confined to one thread. */
public final class InputMutator {
    private static final int MAX_BYTE_CHANGES = 6;
    private static final String DEEP = "[".repeat(3_000) + "]".repeat(3_000);

    /** Values that are valid JSON and of the wrong type, out of range or very large. */
    private static final List<String> ODD_VALUES = List.of(
            "null",
            "true",
            "-1",
            "0",
            "1.5",
            "70000",
            "4294967301",
            "9223372036854775807",
            "9223372036854775808",
            "1e999999999",
            "-1e999999999",
            "9".repeat(900),
            "\"\"",
            "\"\\u0000\"",
            "\"a b/c\"",
            "\"" + "x".repeat(5_000) + "\"",
            "[]",
            "{}",
            "[null]",
            "{\"x\":" + DEEP + "}",
            DEEP);

    /** A string, number or literal of a JSON text. */
    private static final Pattern VALUE =
            Pattern.compile("(?<=[:\\[,])(\"[^\"]*\"|-?[0-9][0-9.eE+-]*|true|false|null)(?=[,\\]}])");

    private final Random random;

    /** Creates a mutator whose results depend only on the seed and on the inputs. */
    public InputMutator(long seed) {
        this.random = new Random(seed);
    }

    /** Replaces one value of a JSON text, or damages its bytes. */
    public byte[] mutateJson(String json) {
        if (random.nextInt(3) == 0) {
            return mutate(json.getBytes(StandardCharsets.UTF_8));
        }
        List<MatchResult> values = VALUE.matcher(json).results().toList();
        MatchResult value = values.get(random.nextInt(values.size()));
        String odd = ODD_VALUES.get(random.nextInt(ODD_VALUES.size()));
        String mutated = json.substring(0, value.start()) + odd + json.substring(value.end());
        return mutated.getBytes(StandardCharsets.UTF_8);
    }

    /** Changes, removes, repeats or cuts off bytes. */
    public byte[] mutate(byte[] input) {
        ByteArrayOutputStream mutated = new ByteArrayOutputStream();
        int end = random.nextInt(8) == 0 ? random.nextInt(input.length + 1) : input.length;
        double changeRate = (1.0 + random.nextInt(MAX_BYTE_CHANGES)) / Math.max(1, input.length);
        for (int i = 0; i < end; i++) {
            if (random.nextDouble() >= changeRate) {
                mutated.write(input[i]);
                continue;
            }
            switch (random.nextInt(4)) {
                case 0 -> mutated.write(random.nextInt(256));
                case 1 -> mutated.write(input, i, Math.min(16, input.length - i));
                case 2 -> mutated.write(0);
                default -> {
                    // The byte is removed.
                }
            }
        }
        return mutated.toByteArray();
    }
}
