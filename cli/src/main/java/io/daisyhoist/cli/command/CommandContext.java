package io.daisyhoist.cli.command;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.daisyhoist.cli.client.AdminClient;
import io.daisyhoist.cli.client.NoResponseException;
import io.daisyhoist.cli.client.PlatformClient;
import io.daisyhoist.core.config.ConfigDocument;
import io.daisyhoist.core.config.FileEdit;
import io.daisyhoist.core.config.PushRequest;
import io.daisyhoist.core.config.StoredDocument;
import io.daisyhoist.core.time.TimeSource;

/**
 * Dependencies and settings of a command. Not thread-safe.
 *
 * @param workingDirectory directory against which paths are resolved
 * @param platformUrl first URL of the platform, which identifies it in the base revisions
 * @param platform client of the platform's store
 * @param admin client of one daemon's admin port
 * @param time clock for the timestamps in the change history
 * @param random random generator for push ids and retry jitter
 * @param maxUnansweredCalls number of calls without a response after which a push gives up
 * @param warnings receives warnings that do not affect the result
 */
public record CommandContext(
        Path workingDirectory,
        URI platformUrl,
        PlatformClient platform,
        AdminClient admin,
        TimeSource time,
        RandomGenerator random,
        int maxUnansweredCalls,
        List<String> warnings) {
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    /** Reads the configuration document, empty if there is none. */
    public ConfigDocument readDocument() {
        Optional<StoredDocument> stored = platform.read();
        return stored.map(StoredDocument::document).orElse(ConfigDocument.EMPTY);
    }

    /** Reads the document with retries, to bridge a short outage as a push does. */
    public ConfigDocument readDocumentWithRetries() {
        for (int unanswered = 0; ; unanswered++) {
            try {
                return readDocument();
            } catch (NoResponseException e) {
                if (unanswered >= maxUnansweredCalls) {
                    throw e;
                }
                sleep(RETRY_DELAY);
            }
        }
    }

    static void sleep(Duration delay) {
        try {
            Thread.sleep(delay.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Creates a push with a new random id. */
    public PushRequest newPush(String author, List<FileEdit> edits) {
        return new PushRequest(newPushId(), author, time.wallTime().truncatedTo(ChronoUnit.MILLIS), edits);
    }

    private String newPushId() {
        byte[] bytes = new byte[16];
        random.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }
}
