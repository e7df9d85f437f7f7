package io.daisyhoist.cli.output;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Text table with left-aligned columns. Not thread-safe. */
public final class Table {
    private final List<List<String>> rows = new ArrayList<>();

    public Table(String... headings) {
        rows.add(List.of(headings));
    }

    /** Adds a row; values are formatted with {@code toString}, and their control characters replaced by spaces. */
    public Table addRow(Object... values) {
        List<String> row = new ArrayList<>();
        for (Object value : values) {
            // Control characters in text of other operators could otherwise manipulate the terminal.
            row.add(String.valueOf(value).replaceAll("\\p{Cntrl}", " "));
        }
        rows.add(row);
        return this;
    }

    /** Formats a number of files. */
    public static String fileCountText(int count) {
        return count == 1 ? "1 file" : count + " files";
    }

    @Override
    public String toString() {
        List<Integer> widths = IntStream.range(0, rows.get(0).size())
                .mapToObj(column -> Collections.max(
                        rows.stream().map(row -> row.get(column).length()).toList()))
                .toList();
        return rows.stream().map(row -> formatRow(row, widths)).collect(Collectors.joining());
    }

    private static String formatRow(List<String> row, List<Integer> widths) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < row.size(); column++) {
            line.append(row.get(column))
                    .append(" ".repeat(widths.get(column) - row.get(column).length() + 2));
        }
        return line.toString().stripTrailing() + "\n";
    }
}
