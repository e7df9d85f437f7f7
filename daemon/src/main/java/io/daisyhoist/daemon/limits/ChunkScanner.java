package io.daisyhoist.daemon.limits;

import io.netty.buffer.ByteBuf;

/**
 * Finds the end of a body in chunks and counts the lines around and after its chunks before the HTTP decoder keeps them.
 *
 * <p>The decoder decides what is valid: of a body that it can't read, the scanner reads on without finding an end. Confined to
 * one event loop.
 */
final class ChunkScanner {
    private static final int RADIX = 16;

    private enum Part {
        SIZE,
        EXTENSION,
        DATA,
        DATA_END,
        TRAILER,
        END
    }

    private Part part = Part.SIZE;
    private long size;
    private int lineBytes;
    private int trailerBytes;
    private int trailerFields;

    /** Prepares for the next body. */
    void reset() {
        part = Part.SIZE;
        size = 0;
        lineBytes = 0;
        trailerBytes = 0;
        trailerFields = 0;
    }

    /** Reads a buffer without consuming it, up to the end of the body; returns the number of bytes that it has read. */
    int scan(ByteBuf buffer) {
        int begin = buffer.readerIndex();
        int end = buffer.writerIndex();
        int index = begin;
        while (index < end && part != Part.END) {
            if (part == Part.DATA) {
                long length = Math.min(size, end - index);
                index += (int) length;
                size -= length;
                part = size == 0 ? Part.DATA_END : Part.DATA;
            } else {
                onByte((char) buffer.getUnsignedByte(index));
                index++;
            }
        }
        return index - begin;
    }

    private void onByte(char next) {
        if (part == Part.TRAILER) {
            trailerBytes++;
        }
        if (next == '\n') {
            onLineEnd();
            lineBytes = 0;
        } else if (next != '\r') {
            lineBytes++;
            int digit = part == Part.SIZE ? Character.digit(next, RADIX) : -1;
            if (digit >= 0) {
                size = size * RADIX + digit;
            } else if (part == Part.SIZE) {
                part = Part.EXTENSION;
            }
        }
    }

    private void onLineEnd() {
        if (part == Part.DATA_END) {
            part = Part.SIZE;
        } else if (part == Part.TRAILER) {
            trailerFields += lineBytes == 0 ? 0 : 1;
            part = lineBytes == 0 ? Part.END : Part.TRAILER;
        } else {
            part = size > 0 ? Part.DATA : Part.TRAILER;
        }
    }

    /** Returns the number of bytes of the current line around a chunk. */
    int lineBytes() {
        return lineBytes;
    }

    /** Returns the number of bytes after the last chunk. */
    int trailerBytes() {
        return trailerBytes;
    }

    /** Returns the number of fields after the last chunk. */
    int trailerFields() {
        return trailerFields;
    }
}
