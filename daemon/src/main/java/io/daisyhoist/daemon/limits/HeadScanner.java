package io.daisyhoist.daemon.limits;

import io.netty.buffer.ByteBuf;

/**
 * Finds the end of a request's head and counts its bytes and lines before the HTTP decoder keeps any of them.
 *
 * <p>It skips the same bytes before a request line as the decoder: empty lines, white space and control characters. Confined to
 * one event loop.
 */
final class HeadScanner {
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte LINE_FEED = '\n';
    private static final byte SPACE = ' ';
    private static final byte DELETE = 0x7f;

    private boolean inRequest;
    private boolean complete;
    private int skippedBytes;
    private int bytes;
    private int lines;

    /** Bytes of the current line that an earlier buffer contained. */
    private int lineBytes;

    private byte lastByte;

    /** Position of a scanner. */
    record Mark(boolean inRequest, int skippedBytes, int bytes, int lines, int lineBytes, byte lastByte) {}

    /** Returns the current position. */
    Mark mark() {
        return new Mark(inRequest, skippedBytes, bytes, lines, lineBytes, lastByte);
    }

    /** Goes back to an earlier position. */
    void restore(Mark mark) {
        inRequest = mark.inRequest();
        skippedBytes = mark.skippedBytes();
        bytes = mark.bytes();
        lines = mark.lines();
        lineBytes = mark.lineBytes();
        lastByte = mark.lastByte();
        complete = false;
    }

    /** Prepares for the next head. */
    void reset() {
        inRequest = false;
        complete = false;
        skippedBytes = 0;
        bytes = 0;
        lines = 0;
        lineBytes = 0;
    }

    /** Reads a buffer without consuming it, up to the end of the head; returns the number of bytes that it has read. */
    int scan(ByteBuf buffer) {
        int begin = buffer.readerIndex();
        int end = buffer.writerIndex();
        int lineStart = skip(buffer, begin, end);
        while (lineStart < end) {
            int lineFeed = buffer.indexOf(lineStart, end, LINE_FEED);
            if (lineFeed < 0) {
                lineBytes += end - lineStart;
                lastByte = buffer.getByte(end - 1);
                bytes += end - lineStart;
                return end - begin;
            }
            bytes += lineFeed + 1 - lineStart;
            if (isEmptyLine(buffer, lineStart, lineFeed)) {
                complete = true;
                return lineFeed + 1 - begin;
            }
            lines++;
            lineBytes = 0;
            lineStart = lineFeed + 1;
        }
        return end - begin;
    }

    private int skip(ByteBuf buffer, int begin, int end) {
        int index = begin;
        while (!inRequest && index < end) {
            byte next = buffer.getByte(index);
            if (next > SPACE && next != DELETE || next < 0) {
                inRequest = true;
            } else {
                skippedBytes++;
                index++;
            }
        }
        return index;
    }

    private boolean isEmptyLine(ByteBuf buffer, int lineStart, int lineFeed) {
        int length = lineBytes + lineFeed - lineStart;
        if (length == 0) {
            return true;
        }
        byte last = lineFeed > lineStart ? buffer.getByte(lineFeed - 1) : lastByte;
        return length == 1 && last == CARRIAGE_RETURN;
    }

    /** Returns whether the head is complete. */
    boolean isComplete() {
        return complete;
    }

    /** Returns the number of bytes before the request line. */
    int skippedBytes() {
        return skippedBytes;
    }

    /** Returns the number of bytes from the request line on. */
    int bytes() {
        return bytes;
    }

    /** Returns the number of header fields. */
    int fields() {
        return Math.max(0, lines - 1);
    }
}
