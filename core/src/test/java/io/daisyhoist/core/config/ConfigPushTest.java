package io.daisyhoist.core.config;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import io.daisyhoist.core.membership.SwapResult;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ConfigPushTest {
    private static final String SERVICE = "[services.s]\npartitions = %d\nslots = 4\nchecks_fence = true\n";
    private static final PushLimits LIMITS = new PushLimits(3, 5, Duration.ofMillis(10), Duration.ofMillis(40));

    private static FileEdit edit(String name, String content, long base) {
        return new FileEdit(name, Optional.of(content), base);
    }

    private static ConfigPush push(String id, FileEdit... edits) {
        return new ConfigPush(new PushRequest(id, "anna", Instant.EPOCH, List.of(edits)), LIMITS, new Random(1));
    }

    private static Optional<StoredDocument> stored(ConfigDocument document) {
        return Optional.of(new StoredDocument("r" + document.version(), document));
    }

    /** Applies a push of one file to a document without faults. */
    private static ConfigDocument afterPush(ConfigDocument document, String file, String content, String author) {
        long base = document.file(file).map(ConfigFile::revision).orElse(0L);
        PushRequest request = new PushRequest(
                author + "-" + document.version(), author, Instant.EPOCH, List.of(edit(file, content, base)));
        return new ConfigProposal(document, request).next();
    }

    private static <T extends PushOutcome> T outcome(Class<T> kind, PushStep step) {
        return assertInstanceOf(
                kind, assertInstanceOf(PushStep.Done.class, step).outcome());
    }

    @Nested
    class OnRead {
        /** Guards against a conflict report without the file, the revision or the author. */
        @Test
        void onRead_sameFileChanged_namesFileRevisionAndAuthor() {
            ConfigDocument document = afterPush(ConfigDocument.EMPTY, "a.toml", "zones.x.state = \"in\"", "bert");
            PushStep step =
                    push("p", edit("a.toml", "zones.y.state = \"in\"", 0)).onRead(stored(document));
            assertEquals(
                    List.of(new FileConflict("a.toml", 0, 1, "bert")),
                    outcome(PushOutcome.Conflicted.class, step).conflicts());
        }

        /** Guards against a push that fails because another file changed meanwhile. */
        @Test
        void onRead_otherFileChangedMeanwhile_writesAgainOnTheNewVersion() {
            ConfigPush push = push("p", edit("a.toml", "zones.y.state = \"in\"", 0));
            push.onRead(Optional.empty());
            assertEquals(new PushStep.Read(Duration.ZERO), push.onWrite(SwapResult.CONFLICT));
            ConfigDocument other = afterPush(ConfigDocument.EMPTY, "b.toml", "zones.x.state = \"in\"", "bert");
            PushStep.Write write = assertInstanceOf(PushStep.Write.class, push.onRead(stored(other)));
            assertEquals(Optional.of("r1"), write.expectedRevision());
            assertEquals(other.file("b.toml"), write.document().file("b.toml"));
        }

        /** Guards against two different writes of one push that can both take effect. */
        @Test
        void onRead_revisionNotMovedAfterLostResponse_repeatsTheSameWrite() {
            ConfigPush push = push("p", edit("a.toml", "zones.y.state = \"in\"", 0));
            PushStep first = push.onRead(Optional.empty());
            assertInstanceOf(PushStep.Read.class, push.onWrite(SwapResult.UNKNOWN));
            assertEquals(first, push.onRead(Optional.empty()));
        }

        /**
         * Guards against a definite outcome for an unanswered write whose change may have been removed from the
         * history.
         */
        @Test
        void onRead_historyTooShortAfterLostResponse_isUnknown() {
            assertInstanceOf(PushStep.Write.class, readAfterLostWrite(ConfigDocument.MAX_CHANGES));
            outcome(PushOutcome.Unknown.class, readAfterLostWrite(ConfigDocument.MAX_CHANGES + 1));
        }

        private PushStep readAfterLostWrite(int changesSince) {
            ConfigPush push = push("p", edit("a.toml", "zones.y.state = \"in\"", 0));
            push.onRead(Optional.empty());
            push.onWrite(SwapResult.UNKNOWN);
            ConfigDocument document = ConfigDocument.EMPTY;
            for (int i = 0; i < changesSince; i++) {
                document = afterPush(document, "b.toml", "zones.x.state = \"in\" # " + i, "bert");
            }
            return push.onRead(stored(document));
        }

        /**
         * Guards against a changed number of partitions, which would assign keys to other owners without a hand-over.
         */
        @Test
        void onRead_partitionsChanged_isInvalid() {
            ConfigDocument document = afterPush(ConfigDocument.EMPTY, "a.toml", SERVICE.formatted(8), "bert");
            PushStep step =
                    push("p", edit("z.toml", "services.s.partitions = 9", 0)).onRead(stored(document));
            List<ConfigFault> faults = outcome(PushOutcome.Invalid.class, step).faults();
            assertEquals("z.toml", faults.get(0).file());
            assertEquals("services.s.partitions", faults.get(0).key());
        }

        /** Guards against a write that the platform refuses because of its size, which would look like an outage. */
        @Test
        void onRead_documentTooLarge_isInvalid() {
            String large = "#" + "x".repeat(ConfigDocument.MAX_BYTES);
            PushStep step = push("p", edit("a.toml", large, 0)).onRead(Optional.empty());
            assertEquals(
                    "a.toml",
                    outcome(PushOutcome.Invalid.class, step).faults().get(0).file());
        }

        /** Guards against file names that point outside the folder, and against a push that names a file twice. */
        @Test
        void onRead_invalidOrRepeatedFileName_isInvalid() {
            FileEdit twice = edit("a.toml", "", 0);
            PushStep step = push("p", edit("../a.toml", "", 0), twice, twice).onRead(Optional.empty());
            assertEquals(2, outcome(PushOutcome.Invalid.class, step).faults().size());
        }
    }

    @Nested
    class Unanswered {
        /** Guards against endless retries, and against reporting "not applied" while a write may still take effect. */
        @Test
        void onReadFailed_platformUnreachable_reportsOnlyCertainOutcome() {
            ConfigPush unsent = push("p", edit("a.toml", "", 0));
            ConfigPush sent = push("p", edit("a.toml", "", 0));
            sent.onRead(Optional.empty());
            List<PushStep> steps = new ArrayList<>(List.of(sent.onWrite(SwapResult.UNKNOWN)));
            for (int i = 0; i < LIMITS.maxUnansweredCalls(); i++) {
                unsent.onReadFailed();
                steps.add(sent.onReadFailed());
            }
            outcome(PushOutcome.NotApplied.class, unsent.onReadFailed());
            outcome(PushOutcome.Unknown.class, steps.remove(steps.size() - 1));
            steps.forEach(step -> assertTrue(
                    assertInstanceOf(PushStep.Read.class, step).delay().compareTo(LIMITS.maxBackoff()) <= 0));
        }
    }
}
