package io.daisyhoist.daemon.telemetry;

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
import java.util.regex.Pattern;

/**
 * Asynchronous log handler with a bounded queue and a rate limit.
 *
 * <p>Invariants: callers never block on the output; at most {@link #MAX_QUEUED_LINES} lines are queued and at most
 * {@link #MAX_LINES_PER_SECOND} are accepted per second; further lines are dropped and counted, and the count is written
 * soon afterwards. Thread-safe.
 */
public final class BoundedLogHandler extends Handler {
    private static final int MAX_QUEUED_LINES = 4_096;
    private static final int MAX_LINES_PER_SECOND = 2_000;
    private static final int BUFFER_BYTES = 32_768;
    private static final long POLL_MILLIS = 500;
    private static final long SECOND_MILLIS = 1_000;

    private static final int MAX_LINE_CHARS = 4_000;
    private static final Pattern CONTROL_CHARACTERS = Pattern.compile("\\p{Cntrl}");

    private final BlockingQueue<String> queuedLines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final PrintStream output;
    private final Thread writer;
    private long secondStartMillis;
    private int linesInSecond;
    private volatile boolean closed;

    /** Creates a handler and starts its writer thread. */
    public BoundedLogHandler(PrintStream output) {
        this.output = new PrintStream(new BufferedOutputStream(output, BUFFER_BYTES), false, StandardCharsets.UTF_8);
        this.writer = new Thread(this::writeLines, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Installs a handler that writes log records of the project at or above a level to an output. */
    public static BoundedLogHandler install(PrintStream output, Level level) {
        BoundedLogHandler log = new BoundedLogHandler(output);
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        root.addHandler(log);
        root.setLevel(Level.WARNING);
        Logger.getLogger("io.daisyhoist").setLevel(level);
        return log;
    }

    @Override
    public void publish(LogRecord logRecord) {
        if (closed || !isWithinRate(logRecord)) {
            dropped.incrementAndGet();
            return;
        }
        if (!queuedLines.offer(format(logRecord))) {
            dropped.incrementAndGet();
        }
    }

    private synchronized boolean isWithinRate(LogRecord logRecord) {
        long nowMillis = logRecord.getMillis();
        if (Math.abs(nowMillis - secondStartMillis) >= SECOND_MILLIS) {
            secondStartMillis = nowMillis;
            linesInSecond = 0;
        }
        linesInSecond++;
        return linesInSecond <= MAX_LINES_PER_SECOND;
    }

    /** Returns the line, whose length is bounded before it is queued, because it may quote what others sent. */
    static String format(LogRecord logRecord) {
        String line = "ts=" + Instant.ofEpochMilli(logRecord.getMillis()) + " level=" + logRecord.getLevel() + " "
                + logRecord.getMessage();
        Throwable cause = logRecord.getThrown();
        return singleLine(cause == null ? line : line + " cause=\"" + cause + "\" at=\"" + firstFrame(cause) + "\"");
    }

    private static String firstFrame(Throwable cause) {
        StackTraceElement[] frames = cause.getStackTrace();
        return frames.length == 0 ? "unknown" : frames[0].toString();
    }

    private void writeLines() {
        while (!closed || !queuedLines.isEmpty()) {
            try {
                String line = queuedLines.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
                if (line != null) {
                    output.println(line);
                }
                reportDroppedLines();
                if (queuedLines.isEmpty()) {
                    output.flush();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        reportDroppedLines();
    }

    /** Replaces control characters and cuts off long lines. */
    private static String singleLine(String line) {
        String bounded = line.length() > MAX_LINE_CHARS ? line.substring(0, MAX_LINE_CHARS) + "..." : line;
        return CONTROL_CHARACTERS.matcher(bounded).replaceAll("?");
    }

    private void reportDroppedLines() {
        long count = dropped.getAndSet(0);
        if (count > 0) {
            output.println("ts=" + Instant.now() + " level=WARNING event=log_lines_dropped count=" + count);
        }
    }

    @Override
    public void flush() {
        output.flush();
    }

    /** Rejects further lines and waits briefly until the queued lines are written. */
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
