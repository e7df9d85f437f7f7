package io.daisyhoist.core.config;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Races two or three operators on a store that loses responses, is temporarily down, and delays writes. */
class ConfigPushRaceTest {
    private static final int SEEDS = Integer.getInteger("daisyhoist.push.seeds", 4_000);
    private static final int PUSHES_PER_OPERATOR = 6;
    private static final PushLimits LIMITS = new PushLimits(4, 20, Duration.ZERO, Duration.ZERO);

    private record FinishedPush(PushRequest request, PushOutcome outcome) {}

    /**
     * One operator who makes several pushes in sequence; the effect of each call and its response are separate steps.
     */
    private static final class Operator {
        private final String name;
        private final Random random;
        private final LossyConfigStore store;
        private final List<FinishedPush> finishedPushes;
        private ConfigDocument knownDocument = ConfigDocument.EMPTY;
        private int startedPushes;
        private PushRequest request;
        private ConfigPush push;
        private PushStep step;
        private Optional<java.util.function.Supplier<PushStep>> pendingResult = Optional.empty();

        Operator(String name, Random random, LossyConfigStore store, List<FinishedPush> finishedPushes) {
            this.name = name;
            this.random = random;
            this.store = store;
            this.finishedPushes = finishedPushes;
        }

        boolean isIdle() {
            return push == null && startedPushes == PUSHES_PER_OPERATOR;
        }

        void advance() {
            if (push == null) {
                startPush();
            } else if (pendingResult.isPresent()) {
                step = pendingResult.get().get();
                pendingResult = Optional.empty();
                finishIfDone();
            } else {
                pendingResult = Optional.of(call());
            }
        }

        private void startPush() {
            // An operator sometimes edits an outdated copy of the files.
            if (random.nextInt(4) > 0) {
                knownDocument = store.current();
            }
            startedPushes++;
            String pushId = name + "-" + startedPushes;
            Map<String, FileEdit> edits = new TreeMap<>();
            for (int i = 0; i <= random.nextInt(2); i++) {
                String file = random.nextInt(3) == 0 ? name + ".toml" : "shared-" + random.nextInt(2) + ".toml";
                edits.put(file, edit(file, pushId));
            }
            request = new PushRequest(pushId, name, Instant.EPOCH, List.copyOf(edits.values()));
            push = new ConfigPush(request, LIMITS, random);
            step = push.start();
        }

        private FileEdit edit(String file, String pushId) {
            long base = knownDocument.file(file).map(ConfigFile::revision).orElse(0L);
            String content = random.nextInt(20) == 0 ? "not toml" : "zones.z.state = \"in\" # " + pushId;
            boolean remove = base > 0 && random.nextInt(20) == 0;
            return new FileEdit(file, remove ? Optional.empty() : Optional.of(content), base);
        }

        private java.util.function.Supplier<PushStep> call() {
            if (step instanceof PushStep.Write write) {
                var result = store.write(write);
                return () -> push.onWrite(result);
            }
            var result = store.read();
            return () -> result.map(push::onRead).orElseGet(push::onReadFailed);
        }

        private void finishIfDone() {
            if (step instanceof PushStep.Done done) {
                finishedPushes.add(new FinishedPush(request, done.outcome()));
                push = null;
            }
        }
    }

    /**
     * Guards against a silent overwrite, an accepted push that is lost or reverted, a push that is reported as refused
     * but is in force, and a version that does not increase by one.
     */
    @Test
    void push_operatorsRaceOnLossyStore_keepsEveryAcceptedChange() {
        Map<String, Integer> outcomes = new TreeMap<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            LossyConfigStore store = new LossyConfigStore(random);
            List<FinishedPush> finished = race(random, store);
            checkHistory("seed " + seed, store.history(), finished);
            finished.forEach(push -> checkOutcome(push, store.history()));
            finished.forEach(push -> outcomes.merge(push.outcome().getClass().getSimpleName(), 1, Integer::sum));
        }
        System.out.println("event=config-push-race seeds=" + SEEDS + " outcomes=" + outcomes);
        assertEquals(
                Set.of("Accepted", "Conflicted", "Invalid", "NotApplied", "Unchanged", "Unknown"),
                outcomes.keySet(),
                "every outcome must have been exercised");
    }

    private static List<FinishedPush> race(Random random, LossyConfigStore store) {
        List<FinishedPush> finished = new ArrayList<>();
        List<Operator> operators = new ArrayList<>();
        for (int i = 0; i < 2 + random.nextInt(2); i++) {
            operators.add(new Operator("op" + i, random, store, finished));
        }
        while (!operators.isEmpty() || store.hasDelayedWrites()) {
            if (store.hasDelayedWrites() && (operators.isEmpty() || random.nextInt(12) == 0)) {
                store.deliverDelayedWrite();
                continue;
            }
            operators.get(random.nextInt(operators.size())).advance();
            operators.removeIf(Operator::isIdle);
        }
        return finished;
    }

    private static void checkHistory(String label, List<ConfigDocument> history, List<FinishedPush> finished) {
        Map<String, PushRequest> requests = finished.stream()
                .collect(Collectors.toMap(push -> push.request().pushId(), FinishedPush::request));
        Set<String> applied = new HashSet<>();
        for (int i = 1; i < history.size(); i++) {
            ConfigDocument previous = history.get(i - 1);
            ConfigDocument next = history.get(i);
            assertEquals(previous.version() + 1, next.version(), label);
            ConfigChange change = next.changes().get(next.changes().size() - 1);
            assertTrue(applied.add(change.pushId()), label + ": applied twice: " + change.pushId());
            assertEquals(
                    expectedContents(previous, requests.get(change.pushId())), contents(next), label + ": " + change);
        }
    }

    /** Computes the files after a push, independent of the code under test; fails if a base revision is outdated. */
    private static Map<String, String> expectedContents(ConfigDocument previous, PushRequest request) {
        Map<String, String> files = new HashMap<>(contents(previous));
        for (FileEdit edit : request.edits()) {
            boolean changes = !Optional.ofNullable(files.get(edit.name())).equals(edit.content());
            long revision = previous.file(edit.name()).map(ConfigFile::revision).orElse(0L);
            assertTrue(!changes || revision == edit.baseRevision(), "silent overwrite of " + edit + " at " + revision);
            files.remove(edit.name());
            edit.content().ifPresent(content -> files.put(edit.name(), content));
        }
        return files;
    }

    private static Map<String, String> contents(ConfigDocument document) {
        return document.files().stream().collect(Collectors.toMap(ConfigFile::name, ConfigFile::content));
    }

    private static void checkOutcome(FinishedPush push, List<ConfigDocument> history) {
        boolean inForce = history.stream()
                .anyMatch(document -> document.change(push.request().pushId()).isPresent());
        String label = push.toString();
        if (push.outcome() instanceof PushOutcome.Accepted accepted) {
            assertTrue(inForce, label);
            assertEquals(
                    accepted.document(), history.get((int) accepted.document().version()), label);
        } else if (!(push.outcome() instanceof PushOutcome.Unknown)) {
            assertTrue(!inForce, "reported as refused but in force: " + label);
        }
        if (push.outcome() instanceof PushOutcome.Conflicted conflicted) {
            conflicted.conflicts().forEach(conflict -> checkConflict(conflict, history, label));
        }
    }

    private static void checkConflict(FileConflict conflict, List<ConfigDocument> history, String label) {
        boolean occurred = history.stream()
                .anyMatch(document -> document.file(conflict.file())
                        .map(file -> file.revision() == conflict.revision()
                                && file.author().equals(conflict.author()))
                        .orElse(conflict.revision() == 0));
        assertTrue(occurred && conflict.revision() != conflict.baseRevision(), label);
    }
}
