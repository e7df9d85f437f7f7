package io.daisyhoist.daemon.telemetry;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

class BoundedLogHandlerTest {
    private static final int LINES = 50_000;

    private static LogRecord logRecord(int number) {
        return new LogRecord(Level.INFO, "event=test number=" + number);
    }

    /** Guards against blocking requests when the log output is not read. */
    @Test
    void publish_outputBlocked_doesNotBlock() {
        CountDownLatch outputUnblocked = new CountDownLatch(1);
        BoundedLogHandler handler = new BoundedLogHandler(new PrintStream(new OutputStream() {
            @Override
            public void write(int value) {
                try {
                    outputUnblocked.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }));
        assertTimeoutPreemptively(Duration.ofSeconds(5), () -> {
            for (int i = 0; i < LINES; i++) {
                handler.publish(logRecord(i));
            }
        });
        outputUnblocked.countDown();
    }

    /** Guards against unbounded log growth under overload. */
    @Test
    void publish_overload_isLimitedAndReportsDroppedLines() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        BoundedLogHandler handler = new BoundedLogHandler(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        long startMillis = System.currentTimeMillis();
        for (int i = 0; i < LINES; i++) {
            handler.publish(logRecord(i));
        }
        handler.close();
        long seconds = 2 + (System.currentTimeMillis() - startMillis) / 1_000;
        String text = bytes.toString(StandardCharsets.UTF_8);
        assertTrue(
                text.lines().count() <= 2_000 * seconds + 100,
                "lines " + text.lines().count());
        assertTrue(text.contains("event=log_lines_dropped"), "dropped lines are reported");
    }

    /** Guards against forged or endless lines by input that a log message quotes. */
    @Test
    void publish_messageWithControlCharacters_isOneBoundedLine() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        BoundedLogHandler handler = new BoundedLogHandler(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        handler.publish(new LogRecord(Level.INFO, "event=a key=x\nevent=forged\u0000" + "y".repeat(100_000)));
        handler.close();
        String text = bytes.toString(StandardCharsets.UTF_8);
        assertEquals(1, text.lines().count());
        assertTrue(text.contains("x?event=forged?"), text);
        assertTrue(text.length() < 5_000, text.length() + " characters");
    }

    /** Guards against queued lines that together exceed the heap, because clients send long ids in requests that are refused. */
    @Test
    void format_longMessage_isCutBeforeItIsQueued() {
        String line = BoundedLogHandler.format(new LogRecord(Level.INFO, "request=" + "x".repeat(100_000)));
        assertTrue(line.length() < 5_000, "length " + line.length());
    }
}
