package io.daisyhoist.mesh.telemetry;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

class BoundedLogTest {
    private static final int LINES = 50_000;

    private static LogRecord line(int number) {
        return new LogRecord(Level.INFO, "event=test number=" + number);
    }

    /** Guards against requests that wait because nobody reads the log. */
    @Test
    void publish_outputBlocked_neverWaits() {
        CountDownLatch never = new CountDownLatch(1);
        BoundedLog log = new BoundedLog(new PrintStream(new OutputStream() {
            @Override
            public void write(int value) {
                try {
                    never.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }));
        assertTimeoutPreemptively(Duration.ofSeconds(5), () -> {
            for (int i = 0; i < LINES; i++) {
                log.publish(line(i));
            }
        });
        never.countDown();
    }

    /** Guards against logs that grow with an overload. */
    @Test
    void publish_overload_isBoundedAndSaysWhatWasDropped() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        BoundedLog log = new BoundedLog(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        long startMillis = System.currentTimeMillis();
        for (int i = 0; i < LINES; i++) {
            log.publish(line(i));
        }
        log.close();
        long seconds = 2 + (System.currentTimeMillis() - startMillis) / 1_000;
        String text = bytes.toString(StandardCharsets.UTF_8);
        assertTrue(
                text.lines().count() <= 2_000 * seconds + 100,
                "lines " + text.lines().count());
        assertTrue(text.contains("event=log_lines_dropped"), "the loss is stated");
    }
}
