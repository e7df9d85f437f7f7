package io.daisyhoist.mesh.request;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.zip.CRC32;

/** Client that sends one body whose bytes depend on their position. Thread-safe. */
final class UploadClient implements AutoCloseable {
    private static final int PART_BYTES = 50_000;

    private final Socket socket;
    private final int bodyBytes;
    private final boolean chunked;
    private final AtomicLong sentBytes = new AtomicLong();
    private volatile boolean closing;

    UploadClient(int port, int bodyBytes, boolean chunked) throws IOException {
        this.socket = new Socket("127.0.0.1", port);
        this.bodyBytes = bodyBytes;
        this.chunked = chunked;
        this.socket.setSoTimeout(20_000);
    }

    static byte[] body(int from, int to) {
        byte[] body = new byte[to - from];
        for (int i = 0; i < body.length; i++) {
            int position = from + i;
            body[i] = (byte) (position ^ position >>> 8 ^ position >>> 16);
        }
        return body;
    }

    static long checksum(int bodyBytes) {
        CRC32 checksum = new CRC32();
        checksum.update(body(0, bodyBytes));
        return checksum.getValue();
    }

    long sentBytes() {
        return sentBytes.get();
    }

    /** Returns whether the response announced the end of the connection. */
    boolean isClosing() {
        return closing;
    }

    /** Sends a head that asks whether the body is accepted. */
    void expectContinue() throws IOException {
        socket.getOutputStream()
                .write(("POST /x HTTP/1.1\r\nHost: h\r\nId: upload\r\nExpect: 100-continue\r\nContent-Length: "
                                + bodyBytes + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
    }

    /** Sends the head and a part of the body. */
    void send(int bytes) throws IOException {
        OutputStream out = socket.getOutputStream();
        String framing = chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + bodyBytes;
        out.write(("POST /x HTTP/1.1\r\nHost: h\r\nId: upload\r\n" + framing + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        for (int from = 0; from < bytes; from += PART_BYTES) {
            byte[] part = body(from, Math.min(bytes, from + PART_BYTES));
            if (chunked) {
                out.write((Integer.toHexString(part.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            }
            out.write(part);
            if (chunked) {
                out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            }
            sentBytes.addAndGet(part.length);
        }
        if (chunked && bytes == bodyBytes) {
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        out.flush();
    }

    /** Sends the whole body in another thread, and returns the response with its body. */
    CompletableFuture<String> upload() {
        return CompletableFuture.supplyAsync(() -> {
            try {
                send(bodyBytes);
            } catch (IOException e) {
                // A response that was sent before the end of the body closes the connection.
            }
            return readResponse();
        });
    }

    /** Returns the status and the body of the response; "closed" if the connection ends without one. */
    String readResponse() {
        try {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String statusLine = in.readLine();
            if (statusLine == null) {
                return "closed";
            }
            int length = 0;
            for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                closing |= line.toLowerCase(Locale.ROOT).startsWith("connection: close");
                if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                    length = Integer.parseInt(
                            line.substring(line.indexOf(':') + 1).trim());
                }
            }
            char[] body = new char[length];
            int read = 0;
            while (read < length) {
                read += in.read(body, read, length - read);
            }
            return statusLine.split(" ")[1] + " " + new String(body);
        } catch (IOException e) {
            return "closed";
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
