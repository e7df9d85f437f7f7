package io.daisyhoist.mesh.process;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Deflate compression of messages. Stateless. */
final class Compression {
    private static final int BUFFER_BYTES = 8_192;

    private Compression() {}

    /** Compresses bytes, preferring speed. */
    static byte[] compress(byte[] bytes) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(bytes);
            deflater.finish();
            ByteArrayOutputStream compressed = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                compressed.write(buffer, 0, deflater.deflate(buffer));
            }
            return compressed.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /**
     * Decompresses bytes.
     *
     * @param maxBytes largest size of the result
     * @throws IllegalArgumentException if the input is damaged, or the result exceeds the maximum
     */
    static byte[] decompress(byte[] compressed, int maxBytes) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed);
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if (count == 0 && !inflater.finished()) {
                    throw new IllegalArgumentException("compressed data ends early");
                }
                bytes.write(buffer, 0, count);
                if (bytes.size() > maxBytes) {
                    throw new IllegalArgumentException("compressed data exceeds " + maxBytes + " bytes");
                }
            }
            return bytes.toByteArray();
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("compressed data is damaged: " + e.getMessage(), e);
        } finally {
            inflater.end();
        }
    }
}
