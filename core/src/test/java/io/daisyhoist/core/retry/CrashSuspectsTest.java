package io.daisyhoist.core.retry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import io.daisyhoist.core.admission.ManualTime;
import io.daisyhoist.core.retry.CrashSuspects.Verdict;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CrashSuspectsTest {
    private static final Fingerprint A = new Fingerprint("a");
    private static final Fingerprint B = new Fingerprint("b");

    private final ManualTime time = new ManualTime();
    private final CrashSuspects suspects = new CrashSuspects(time);

    @Nested
    class Verdicts {
        @Test
        void onLoss_sameLossTwice_countsOnce() {
            BackendLoss loss = new BackendLoss("s1", 1, Set.of(A));
            assertTrue(suspects.onLoss(loss));
            assertFalse(suspects.onLoss(loss));
            assertEquals(Verdict.RUN_EXCLUSIVELY, suspects.verdict(A));
            assertTrue(suspects.onLoss(new BackendLoss("s1", 2, Set.of(A))));
            assertEquals(Verdict.REFUSE, suspects.verdict(A));
        }

        @Test
        void onLoss_twiceWithOtherRequests_isNotRefused() {
            suspects.onLoss(new BackendLoss("s1", 1, Set.of(A, B)));
            suspects.onLoss(new BackendLoss("s2", 1, Set.of(A, B)));
            assertEquals(Verdict.RUN_EXCLUSIVELY, suspects.verdict(A));
        }

        @Test
        void onSuccess_lateReportOfEarlierLoss_isIgnored() {
            BackendLoss loss = new BackendLoss("s1", 1, Set.of(A));
            suspects.onLoss(loss);
            suspects.onSuccess(A);
            suspects.onLoss(loss);
            assertEquals(Verdict.RUN, suspects.verdict(A));
        }

        @Test
        void verdict_afterTtl_isRun() {
            suspects.onLoss(new BackendLoss("s1", 1, Set.of(A)));
            suspects.onLoss(new BackendLoss("s2", 1, Set.of(A)));
            time.advance(CrashSuspects.SUSPICION_TTL);
            assertEquals(Verdict.REFUSE, suspects.verdict(A));
            time.advance(Duration.ofSeconds(1));
            assertEquals(Verdict.RUN, suspects.verdict(A));
        }
    }

    /**
     * Model of a fleet: a poison request crashes its server with all requests in flight; reports arrive late,
     * repeatedly or never.
     */
    private static final class FleetModel {
        private static final int DAEMONS = 6;
        private static final int SLOTS = 6;

        private final Random random;
        private final ManualTime time = new ManualTime();
        private final List<CrashSuspects> daemons = new ArrayList<>();
        private final List<List<Request>> inFlight = new ArrayList<>();
        private final long[] incarnations = new long[DAEMONS];
        private final List<BackendLoss> reports = new ArrayList<>();
        private final List<Request> waiting = new ArrayList<>();
        private final Map<Integer, Integer> losses = new HashMap<>();
        private final Set<Integer> refusedPoison = new HashSet<>();
        private int nextRequest;

        private record Request(int number, boolean poison, Fingerprint fingerprint, int edge) {}

        FleetModel(long seed) {
            random = new Random(seed);
            for (int i = 0; i < DAEMONS; i++) {
                daemons.add(new CrashSuspects(time));
                inFlight.add(new ArrayList<>());
            }
        }

        void step() {
            time.advance(Duration.ofMillis(20));
            int choice = random.nextInt(10);
            if (choice < 3) {
                arrive();
            } else if (choice < 7 && !waiting.isEmpty()) {
                start(waiting.remove(random.nextInt(waiting.size())));
            } else if (choice < 9) {
                end(random.nextInt(DAEMONS));
            } else if (!reports.isEmpty()) {
                CrashSuspects receiver = daemons.get(random.nextInt(DAEMONS));
                receiver.onLoss(reports.get(random.nextInt(reports.size())));
            }
        }

        private void arrive() {
            boolean poison = random.nextInt(15) == 0;
            int number = nextRequest++;
            // Some harmless requests are frequent and run on many servers concurrently.
            String name = poison ? "poison" + number : random.nextBoolean() ? "popular" : "get" + number;
            waiting.add(new Request(number, poison, new Fingerprint(name), random.nextInt(DAEMONS)));
        }

        private void start(Request request) {
            CrashSuspects edge = daemons.get(request.edge());
            int server = random.nextInt(DAEMONS);
            Set<BackendLoss> knownLosses = edge.lossesOf(request.fingerprint());
            knownLosses.forEach(daemons.get(server)::onLoss);
            Verdict verdict = edge.verdict(request.fingerprint());
            verdict = verdict == Verdict.REFUSE ? verdict : daemons.get(server).verdict(request.fingerprint());
            List<Request> running = inFlight.get(server);
            if (verdict == Verdict.REFUSE) {
                assertTrue(request.poison(), "harmless request refused: " + request);
                refusedPoison.add(request.number());
            } else if (canStart(running, server, verdict)) {
                running.add(request);
            } else {
                waiting.add(request);
            }
        }

        private boolean canStart(List<Request> running, int server, Verdict verdict) {
            boolean exclusiveRunning = running.size() == 1
                    && daemons.get(server).verdict(running.get(0).fingerprint()) == Verdict.RUN_EXCLUSIVELY;
            return running.isEmpty() || verdict == Verdict.RUN && !exclusiveRunning && running.size() < SLOTS;
        }

        private void end(int server) {
            List<Request> running = inFlight.get(server);
            if (running.isEmpty()) {
                return;
            }
            Request ended = running.get(random.nextInt(running.size()));
            if (!ended.poison()) {
                running.remove(ended);
                daemons.get(server).onSuccess(ended.fingerprint());
                return;
            }
            losses.merge(ended.number(), 1, Integer::sum);
            assertTrue(losses.get(ended.number()) <= 2, "more than two servers crashed by " + ended);
            BackendLoss loss = new BackendLoss(
                    "s" + server,
                    incarnations[server]++,
                    running.stream().map(Request::fingerprint).collect(Collectors.toSet()));
            reports.add(loss);
            daemons.get(server).onLoss(loss);
            // Each edge learns of the loss from the refusal of its own request and retries.
            running.forEach(request -> daemons.get(request.edge()).onLoss(loss));
            waiting.addAll(running);
            running.clear();
        }
    }

    @Nested
    class Property {
        /**
         * Guards against a request that crashes one server after another and against refusing requests in flight beside
         * it.
         */
        @Test
        void anyHistory_poisonRequestCrashesAtMostTwoServersAndNoOtherIsRefused() {
            int refused = 0;
            for (long seed = 0; seed < 400; seed++) {
                FleetModel fleet = new FleetModel(seed);
                try {
                    for (int i = 0; i < 1_500; i++) {
                        fleet.step();
                    }
                } catch (AssertionError e) {
                    throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
                }
                refused += fleet.refusedPoison.size();
            }
            assertTrue(refused > 1_000, "too few poison requests were refused: " + refused);
        }
    }
}
