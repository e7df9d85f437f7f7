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

/** Races two or three operators against a register that loses answers, is down, slow, or delays writes. */
class ConfigPushRaceTest {
    private static final int SEEDS = Integer.getInteger("daisyhoist.push.seeds", 4_000);
    private static final int PUSHES = 6;
    private static final PushLimits LIMITS = new PushLimits(4, 20, Duration.ZERO, Duration.ZERO);

    private record Finished(PushRequest request, PushOutcome outcome) {}

    /** One operator who starts a push after the other; each call takes effect and is answered at separate moments. */
    private static final class Operator {
        private final String name;
        private final Random random;
        private final LossyRegister register;
        private final List<Finished> finished;
        private ConfigDocument seen = ConfigDocument.EMPTY;
        private int started;
        private PushRequest request;
        private ConfigPush push;
        private PushStep step;
        private Optional<java.util.function.Supplier<PushStep>> answer = Optional.empty();

        Operator(String name, Random random, LossyRegister register, List<Finished> finished) {
            this.name = name;
            this.random = random;
            this.register = register;
            this.finished = finished;
        }

        boolean isIdle() {
            return push == null && started == PUSHES;
        }

        void act() {
            if (push == null) {
                begin();
            } else if (answer.isPresent()) {
                step = answer.get().get();
                answer = Optional.empty();
                finishIfDone();
            } else {
                answer = Optional.of(call());
            }
        }

        private void begin() {
            // An operator sometimes edits an old copy of the files.
            if (random.nextInt(4) > 0) {
                seen = register.current();
            }
            started++;
            String pushId = name + "-" + started;
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
            long base = seen.file(file).map(ConfigFile::revision).orElse(0L);
            String content = random.nextInt(20) == 0 ? "not toml" : "zones.z.state = \"in\" # " + pushId;
            boolean remove = base > 0 && random.nextInt(20) == 0;
            return new FileEdit(file, remove ? Optional.empty() : Optional.of(content), base);
        }

        private java.util.function.Supplier<PushStep> call() {
            if (step instanceof PushStep.Write write) {
                var result = register.write(write);
                return () -> push.onWrite(result);
            }
            var result = register.read();
            return () -> result.map(push::onRead).orElseGet(push::onReadFailed);
        }

        private void finishIfDone() {
            if (step instanceof PushStep.Done done) {
                finished.add(new Finished(request, done.outcome()));
                push = null;
            }
        }
    }

    /**
     * Guards against a silent overwrite, a lost or reverted accepted push, a push reported as refused that is in force,
     * and a version that does not rise by one.
     */
    @Test
    void push_operatorsRaceOnLossyRegister_keepsEveryAcceptedChange() {
        Map<String, Integer> outcomes = new TreeMap<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            LossyRegister register = new LossyRegister(random);
            List<Finished> finished = race(random, register);
            checkHistory("seed " + seed, register.history(), finished);
            finished.forEach(one -> checkOutcome(one, register.history()));
            finished.forEach(one -> outcomes.merge(one.outcome().getClass().getSimpleName(), 1, Integer::sum));
        }
        System.out.println("event=config-push-race seeds=" + SEEDS + " outcomes=" + outcomes);
        assertEquals(
                Set.of("Accepted", "Conflicted", "Invalid", "NotApplied", "Unchanged", "Unknown"),
                outcomes.keySet(),
                "every outcome must have been exercised");
    }

    private static List<Finished> race(Random random, LossyRegister register) {
        List<Finished> finished = new ArrayList<>();
        List<Operator> operators = new ArrayList<>();
        for (int i = 0; i < 2 + random.nextInt(2); i++) {
            operators.add(new Operator("op" + i, random, register, finished));
        }
        while (!operators.isEmpty() || register.hasDelayedWrites()) {
            if (register.hasDelayedWrites() && (operators.isEmpty() || random.nextInt(12) == 0)) {
                register.deliverDelayedWrite();
                continue;
            }
            operators.get(random.nextInt(operators.size())).act();
            operators.removeIf(Operator::isIdle);
        }
        return finished;
    }

    private static void checkHistory(String label, List<ConfigDocument> history, List<Finished> finished) {
        Map<String, PushRequest> requests =
                finished.stream().collect(Collectors.toMap(one -> one.request().pushId(), Finished::request));
        Set<String> applied = new HashSet<>();
        for (int i = 1; i < history.size(); i++) {
            ConfigDocument before = history.get(i - 1);
            ConfigDocument after = history.get(i);
            assertEquals(before.version() + 1, after.version(), label);
            ConfigChange change = after.changes().get(after.changes().size() - 1);
            assertTrue(applied.add(change.pushId()), label + ": applied twice: " + change.pushId());
            assertEquals(expected(before, requests.get(change.pushId())), contents(after), label + ": " + change);
        }
    }

    /** Computes the files after a push independently of the code under test; fails on a base that is not in force. */
    private static Map<String, String> expected(ConfigDocument before, PushRequest request) {
        Map<String, String> files = new HashMap<>(contents(before));
        for (FileEdit edit : request.edits()) {
            boolean changes = !Optional.ofNullable(files.get(edit.name())).equals(edit.content());
            long revision = before.file(edit.name()).map(ConfigFile::revision).orElse(0L);
            assertTrue(!changes || revision == edit.baseRevision(), "silent overwrite of " + edit + " at " + revision);
            files.remove(edit.name());
            edit.content().ifPresent(content -> files.put(edit.name(), content));
        }
        return files;
    }

    private static Map<String, String> contents(ConfigDocument document) {
        return document.files().stream().collect(Collectors.toMap(ConfigFile::name, ConfigFile::content));
    }

    private static void checkOutcome(Finished one, List<ConfigDocument> history) {
        boolean inForce = history.stream()
                .anyMatch(document -> document.change(one.request().pushId()).isPresent());
        String label = one.toString();
        if (one.outcome() instanceof PushOutcome.Accepted accepted) {
            assertTrue(inForce, label);
            assertEquals(
                    accepted.document(), history.get((int) accepted.document().version()), label);
        } else if (!(one.outcome() instanceof PushOutcome.Unknown)) {
            assertTrue(!inForce, "reported as refused but in force: " + label);
        }
        if (one.outcome() instanceof PushOutcome.Conflicted conflicted) {
            conflicted.conflicts().forEach(conflict -> checkConflict(conflict, history, label));
        }
    }

    private static void checkConflict(FileConflict conflict, List<ConfigDocument> history, String label) {
        boolean real = history.stream()
                .anyMatch(document -> document.file(conflict.file())
                        .map(file -> file.revision() == conflict.revision()
                                && file.author().equals(conflict.author()))
                        .orElse(conflict.revision() == 0));
        assertTrue(real && conflict.revision() != conflict.baseRevision(), label);
    }
}
