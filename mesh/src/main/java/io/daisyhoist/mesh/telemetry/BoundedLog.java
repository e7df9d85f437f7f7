package io.daisyhoist.mesh.telemetry;

import java.io.BufferedOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes log lines from a thread of its own.
 *
 * <p>Invariants: a caller never waits for the output; at most {@link #MAX_WAITING_LINES} lines wait and at most
 * {@link #MAX_LINES_PER_SECOND} are written in a second; lines beyond are dropped and counted, and the count is written as
 * soon as there is room. Thread-safe.
 */
public final class BoundedLog extends Handler {
    private static final int MAX_WAITING_LINES = 4_096;
    private static final int MAX_LINES_PER_SECOND = 2_000;
    private static final int BUFFER_BYTES = 32_768;
    private static final long POLL_MILLIS = 500;
    private static final long SECOND_MILLIS = 1_000;

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_WAITING_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final PrintStream output;
    private final Thread writer;
    private long secondStartMillis;
    private int linesInSecond;
    private volatile boolean closed;

    /** Creates a handler that writes to an output. */
    public BoundedLog(PrintStream output) {
        this.output = new PrintStream(new BufferedOutputStream(output, BUFFER_BYTES), false, StandardCharsets.UTF_8);
        this.writer = new Thread(this::writeLines, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Sends all log lines of the project at or above a level to standard output. */
    public static BoundedLog install(Level level) {
        BoundedLog log = new BoundedLog(System.out);
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        root.addHandler(log);
        root.setLevel(Level.WARNING);
        Logger.getLogger("io.daisyhoist").setLevel(level);
        return log;
    }

    @Override
    public void publish(LogRecord entry) {
        if (closed || !isWithinRate(entry)) {
            dropped.incrementAndGet();
            return;
        }
        if (!lines.offer(format(entry))) {
            dropped.incrementAndGet();
        }
    }

    private synchronized boolean isWithinRate(LogRecord entry) {
        long nowMillis = entry.getMillis();
        if (Math.abs(nowMillis - secondStartMillis) >= SECOND_MILLIS) {
            secondStartMillis = nowMillis;
            linesInSecond = 0;
        }
        linesInSecond++;
        return linesInSecond <= MAX_LINES_PER_SECOND;
    }

    private static String format(LogRecord entry) {
        String line = "ts=" + Instant.ofEpochMilli(entry.getMillis()) + " level=" + entry.getLevel() + " "
                + entry.getMessage();
        Throwable cause = entry.getThrown();
        return cause == null ? line : line + " cause=\"" + cause + "\" at=\"" + firstFrame(cause) + "\"";
    }

    private static String firstFrame(Throwable cause) {
        StackTraceElement[] frames = cause.getStackTrace();
        return frames.length == 0 ? "unknown" : frames[0].toString();
    }

    private void writeLines() {
        while (!closed || !lines.isEmpty()) {
            try {
                String line = lines.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
                if (line != null) {
                    output.println(line);
                    writeDropped();
                }
                if (lines.isEmpty()) {
                    output.flush();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void writeDropped() {
        long count = dropped.getAndSet(0);
        if (count > 0) {
            output.println("ts=" + Instant.now() + " level=WARNING event=log_lines_dropped count=" + count);
        }
    }

    @Override
    public void flush() {
        output.flush();
    }

    /** Writes what waits, for a short time, and takes no more lines. */
    @Override
    public void close() {
        closed = true;
        try {
            writer.join(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        output.flush();
    }
}
