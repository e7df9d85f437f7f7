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
import io.daisyhoist.cli.client.PlatformClient;
import io.daisyhoist.cli.client.UnansweredCallException;
import io.daisyhoist.core.config.ConfigDocument;
import io.daisyhoist.core.config.FileEdit;
import io.daisyhoist.core.config.PushRequest;
import io.daisyhoist.core.config.StoredDocument;
import io.daisyhoist.core.time.TimeSource;

/**
 * What a command works with. Not thread-safe.
 *
 * @param directory directory against which paths are resolved
 * @param platformUrl first URL of the platform, which names it in base revisions
 * @param platform client of the platform's store
 * @param admin client of one daemon
 * @param time source of the times in the history
 * @param random source of push ids and jitter
 * @param maxUnansweredCalls calls without an answer after which a push ends
 * @param warnings collects remarks that do not change the result
 */
public record CommandContext(
        Path directory,
        URI platformUrl,
        PlatformClient platform,
        AdminClient admin,
        TimeSource time,
        RandomGenerator random,
        int maxUnansweredCalls,
        List<String> warnings) {
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    /** Reads the document; an absent one reads as empty. */
    public ConfigDocument readDocument() {
        Optional<StoredDocument> stored = platform.read();
        return stored.map(StoredDocument::document).orElse(ConfigDocument.EMPTY);
    }

    /** Reads the document, and waits through a short outage as a push does. */
    public ConfigDocument readDocumentPatiently() {
        for (int unanswered = 0; ; unanswered++) {
            try {
                return readDocument();
            } catch (UnansweredCallException e) {
                if (unanswered >= maxUnansweredCalls) {
                    throw e;
                }
                pause(RETRY_DELAY);
            }
        }
    }

    static void pause(Duration delay) {
        try {
            Thread.sleep(delay.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Builds a push with an id of its own. */
    public PushRequest newPush(String author, List<FileEdit> edits) {
        return new PushRequest(newPushId(), author, time.wallTime().truncatedTo(ChronoUnit.MILLIS), edits);
    }

    private String newPushId() {
        byte[] bytes = new byte[16];
        random.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }
}
