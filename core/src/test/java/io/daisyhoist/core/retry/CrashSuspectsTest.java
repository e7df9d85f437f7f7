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
            assertEquals(Verdict.RUN_ALONE, suspects.verdict(A));
            assertTrue(suspects.onLoss(new BackendLoss("s1", 2, Set.of(A))));
            assertEquals(Verdict.REFUSE, suspects.verdict(A));
        }

        @Test
        void onLoss_twiceInCompany_isNotRefused() {
            suspects.onLoss(new BackendLoss("s1", 1, Set.of(A, B)));
            suspects.onLoss(new BackendLoss("s2", 1, Set.of(A, B)));
            assertEquals(Verdict.RUN_ALONE, suspects.verdict(A));
        }

        @Test
        void onGoodRun_thenLateReportOfAnOldLoss_staysClear() {
            BackendLoss loss = new BackendLoss("s1", 1, Set.of(A));
            suspects.onLoss(loss);
            suspects.onGoodRun(A);
            suspects.onLoss(loss);
            assertEquals(Verdict.RUN, suspects.verdict(A));
        }

        @Test
        void verdict_afterTenMinutes_isForgotten() {
            suspects.onLoss(new BackendLoss("s1", 1, Set.of(A)));
            suspects.onLoss(new BackendLoss("s2", 1, Set.of(A)));
            time.advance(CrashSuspects.MEMORY);
            assertEquals(Verdict.REFUSE, suspects.verdict(A));
            time.advance(Duration.ofSeconds(1));
            assertEquals(Verdict.RUN, suspects.verdict(A));
        }
    }

    /** Servers lose all requests in flight when one of them is poisonous; reports arrive late, repeatedly or never. */
    private static final class World {
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

        World(long seed) {
            random = new Random(seed);
            for (int i = 0; i < DAEMONS; i++) {
                daemons.add(new CrashSuspects(time));
                inFlight.add(new ArrayList<>());
            }
        }

        void step() {
            time.advance(Duration.ofMillis(20));
            int dice = random.nextInt(10);
            if (dice < 3) {
                arrive();
            } else if (dice < 7 && !waiting.isEmpty()) {
                start(waiting.remove(random.nextInt(waiting.size())));
            } else if (dice < 9) {
                end(random.nextInt(DAEMONS));
            } else if (!reports.isEmpty()) {
                CrashSuspects receiver = daemons.get(random.nextInt(DAEMONS));
                receiver.onLoss(reports.get(random.nextInt(reports.size())));
            }
        }

        private void arrive() {
            boolean poison = random.nextInt(15) == 0;
            int number = nextRequest++;
            // Some harmless requests are popular and run in many places at once.
            String name = poison ? "poison" + number : random.nextBoolean() ? "popular" : "get" + number;
            waiting.add(new Request(number, poison, new Fingerprint(name), random.nextInt(DAEMONS)));
        }

        private void start(Request request) {
            CrashSuspects edge = daemons.get(request.edge());
            int server = random.nextInt(DAEMONS);
            Set<BackendLoss> evidence = edge.evidence(request.fingerprint());
            evidence.forEach(daemons.get(server)::onLoss);
            Verdict verdict = edge.verdict(request.fingerprint());
            verdict = verdict == Verdict.REFUSE ? verdict : daemons.get(server).verdict(request.fingerprint());
            List<Request> running = inFlight.get(server);
            if (verdict == Verdict.REFUSE) {
                assertTrue(request.poison(), "innocent request refused: " + request);
                refusedPoison.add(request.number());
            } else if (mayStart(running, server, verdict)) {
                running.add(request);
            } else {
                waiting.add(request);
            }
        }

        private boolean mayStart(List<Request> running, int server, Verdict verdict) {
            boolean busyAlone = running.size() == 1
                    && daemons.get(server).verdict(running.get(0).fingerprint()) == Verdict.RUN_ALONE;
            return running.isEmpty() || verdict == Verdict.RUN && !busyAlone && running.size() < SLOTS;
        }

        private void end(int server) {
            List<Request> running = inFlight.get(server);
            if (running.isEmpty()) {
                return;
            }
            Request ended = running.get(random.nextInt(running.size()));
            if (!ended.poison()) {
                running.remove(ended);
                daemons.get(server).onGoodRun(ended.fingerprint());
                return;
            }
            losses.merge(ended.number(), 1, Integer::sum);
            assertTrue(losses.get(ended.number()) <= 2, "more than two servers lost to " + ended);
            BackendLoss loss = new BackendLoss(
                    "s" + server,
                    incarnations[server]++,
                    running.stream().map(Request::fingerprint).collect(Collectors.toSet()));
            reports.add(loss);
            daemons.get(server).onLoss(loss);
            // Each edge learns the loss from the refusal of its own request, and retries.
            running.forEach(request -> daemons.get(request.edge()).onLoss(loss));
            waiting.addAll(running);
            running.clear();
        }
    }

    @Nested
    class Property {
        /** Guards against a crash loop through the fleet and against refusing requests that were only near a crash. */
        @Test
        void anyHistory_poisonTakesAtMostTwoServersAndNoInnocentIsRefused() {
            int refused = 0;
            for (long seed = 0; seed < 400; seed++) {
                World world = new World(seed);
                try {
                    for (int i = 0; i < 1_500; i++) {
                        world.step();
                    }
                } catch (AssertionError e) {
                    throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
                }
                refused += world.refusedPoison.size();
            }
            assertTrue(refused > 1_000, "too few crash loops were met: " + refused);
        }
    }
}
