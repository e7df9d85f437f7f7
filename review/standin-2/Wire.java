import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One HTTP/1.1 message, read from and written to plain streams. */
final class Wire {
    String start;
    final List<String[]> fields = new ArrayList<>();
    byte[] body = new byte[0];

    String field(String name) {
        for (String[] field : fields) {
            if (field[0].equalsIgnoreCase(name)) {
                return field[1];
            }
        }
        return null;
    }

    int status() {
        return Integer.parseInt(start.split(" ")[1]);
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Reads a head; null if the stream ends before its first byte. */
    static Wire readHead(InputStream in) throws IOException {
        Wire message = new Wire();
        String line = line(in, true);
        if (line == null) {
            return null;
        }
        message.start = line;
        for (line = line(in, false); !line.isEmpty(); line = line(in, false)) {
            int colon = line.indexOf(':');
            if (colon < 0) {
                throw new IOException("no field: " + line);
            }
            message.fields.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
        }
        return message;
    }

    /** Reads the body that the head announces; of a response without a length, up to the end of the connection. */
    void readBody(InputStream in, boolean response) throws IOException {
        String length = field("content-length");
        if ("chunked".equalsIgnoreCase(field("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
                if (size == 0) {
                    while (!line(in, false).isEmpty()) {
                        continue;
                    }
                    break;
                }
                all.write(exactly(in, size));
                line(in, false);
            }
            body = all.toByteArray();
        } else if (length != null) {
            body = exactly(in, Integer.parseInt(length));
        } else if (response && status() != 204 && status() != 304) {
            body = in.readAllBytes();
        }
    }

    static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("body ends after " + bytes.length + " of " + size + " bytes");
        }
        return bytes;
    }

    private static String line(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (mayEnd && line.size() == 0) {
                    return null;
                }
                throw new EOFException("the stream ends within a line");
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }
}
