package io.daisyhoist.core.atmostonce;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.daisyhoist.core.admission.ManualTime;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.model.SessionId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against an operation that runs twice and against a false "not run", in random histories of resends, lost
 * responses, evicted records, planned moves (committed, abandoned, with late and repeated transfers) and failovers. The
 * oracle tracks the actual runs per token, independent of records, watermarks and epochs.
 */
class AttemptLedgerHistoryTest {
    private static final PartitionId PARTITION = new PartitionId(new ServiceName("dispatch"), 3);
    private static final LedgerLimits SMALL_LIMITS = new LedgerLimits(Duration.ofMinutes(2), 12, 6_000, 40);

    private static final class Daemon {
        private final ManualTime time = new ManualTime();
        private final TransferInbox inbox = new TransferInbox();
        private SessionId session;
    }

    private static final class Simulation {
        private final Random random;
        private final List<Daemon> daemons = new ArrayList<>();
        private final List<AttemptToken> tokens = new ArrayList<>();
        private final Map<AttemptToken, String> responses = new HashMap<>();
        private final List<AttemptToken> runningTokens = new ArrayList<>();
        private final List<Runnable> delayedTransfers = new ArrayList<>();
        private final Map<String, Integer> decisionCounts = new HashMap<>();
        private Daemon owner;
        private AttemptLedger ledger;
        private long version = 1;

        Simulation(long seed) {
            random = new Random(seed);
            for (int i = 0; i < 3; i++) {
                Daemon daemon = new Daemon();
                daemon.session = new SessionId(new DaemonId("d" + i), 7, 1);
                daemon.time.stepWallClock(Duration.ofSeconds(random.nextInt(50)));
                daemons.add(daemon);
            }
            grantTo(daemons.get(0));
        }

        void step() {
            int event = random.nextInt(100);
            if (event < 20) {
                tokens.add(ledger.issue(random));
            } else if (event < 65) {
                sendRecentToken();
            } else if (event < 85) {
                finishRandomRun();
            } else if (event < 90) {
                daemons.forEach(daemon -> daemon.time.advance(Duration.ofSeconds(10)));
            } else if (event < 92) {
                owner.time.stepWallClock(Duration.ofSeconds(random.nextInt(40) - 20));
            } else if (event < 96) {
                plannedMove();
            } else if (event < 97) {
                failover();
            } else if (!delayedTransfers.isEmpty()) {
                delayedTransfers.get(random.nextInt(delayedTransfers.size())).run();
            }
        }

        private void sendRecentToken() {
            if (tokens.isEmpty()) {
                return;
            }
            int age = Math.min(tokens.size() - 1, (int) Math.abs(random.nextGaussian() * 10));
            AttemptToken token = tokens.get(tokens.size() - 1 - age);
            AttemptDecision decision = ledger.begin(token);
            decisionCounts.merge(decision.getClass().getSimpleName(), 1, Integer::sum);
            if (decision instanceof AttemptDecision.Run) {
                assertTrue(!responses.containsKey(token) && !runningTokens.contains(token), "second run of " + token);
                runningTokens.add(token);
            } else if (decision instanceof AttemptDecision.Replay replay) {
                assertEquals(responses.get(token), new String(replay.response().body(), StandardCharsets.UTF_8));
            } else if (decision instanceof AttemptDecision.AlreadyRun) {
                assertNotNull(responses.get(token), "reported as run but never ran: " + token);
            } else if (decision instanceof AttemptDecision.HandedOver) {
                assertTrue(
                        !responses.containsKey(token) && !runningTokens.contains(token),
                        "reported as not run here: " + token);
            } else if (decision instanceof AttemptDecision.Join) {
                assertTrue(runningTokens.contains(token), "reported as running but is not running: " + token);
            }
        }

        private void finishRandomRun() {
            if (runningTokens.isEmpty()) {
                return;
            }
            AttemptToken token = runningTokens.remove(random.nextInt(runningTokens.size()));
            int outcome = random.nextInt(10);
            if (outcome < 6) {
                String body = "x".repeat(random.nextInt(60));
                responses.put(token, body);
                ledger.recordResponse(
                        token, new RecordedResponse(200, List.of(), body.getBytes(StandardCharsets.UTF_8)));
            } else if (outcome < 8) {
                ledger.removeNotRun(token);
            } else {
                maybeRecordRun(token);
                ledger.recordUnknownOutcome(token);
            }
        }

        private void maybeRecordRun(AttemptToken token) {
            if (random.nextBoolean()) {
                responses.put(token, "lost");
            }
        }

        private void plannedMove() {
            ledger.seal();
            sendRecentToken();
            while (!runningTokens.isEmpty()) {
                finishRandomRun();
            }
            Daemon target = daemons.get(random.nextInt(daemons.size()));
            if (target == owner) {
                ledger.resume();
                return;
            }
            LedgerExport export = ledger.exportAndSeal(version + 1);
            SessionId sender = owner.session;
            Runnable deliver = () -> target.inbox.store(PARTITION, sender, export);
            delayedTransfers.add(deliver);
            if (random.nextInt(3) == 0) {
                // The move is abandoned before the write: the owner resumes while its transfer may still arrive.
                ledger.resume();
                return;
            }
            deliver.run();
            if (random.nextBoolean()) {
                // An earlier transfer that arrives again between the acknowledgement and the write must not replace the
                // latest one.
                Collections.shuffle(delayedTransfers, random);
                delayedTransfers.forEach(Runnable::run);
            }
            if (random.nextInt(4) == 0) {
                // Another change was committed at this version, so the write conflicts.
                version++;
                ledger.resume();
                return;
            }
            version++;
            grantTo(target);
        }

        private void failover() {
            runningTokens.forEach(this::maybeRecordRun);
            runningTokens.clear();
            owner.session = owner.session.next();
            version++;
            Daemon newOwner = daemons.get(random.nextInt(daemons.size()));
            grantTo(newOwner);
        }

        private void grantTo(Daemon daemon) {
            owner = daemon;
            ledger = new AttemptLedger(PARTITION, version, SMALL_LIMITS, daemon.time);
            daemon.inbox
                    .take(
                            PARTITION,
                            version,
                            session ->
                                    daemons.stream().anyMatch(daemonInGroup -> daemonInGroup.session.equals(session)))
                    .ifPresent(ledger::importRecords);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 1_000, 2_000, 3_000})
    void begin_anyHistory_runsAtMostOnce(long firstSeed) {
        Map<String, Integer> decisions = new HashMap<>();
        for (long seed = firstSeed; seed < firstSeed + 500; seed++) {
            Simulation simulation = new Simulation(seed);
            for (int i = 0; i < 400; i++) {
                try {
                    simulation.step();
                } catch (AssertionError e) {
                    throw new AssertionError("seed " + seed + " step " + i + ": " + e.getMessage(), e);
                }
            }
            simulation.decisionCounts.forEach((decision, count) -> decisions.merge(decision, count, Integer::sum));
        }
        // The histories must exercise every kind of decision.
        assertEquals(6, decisions.size(), decisions.toString());
        assertTrue(decisions.get("Run") > decisions.get("OutcomeUnknown") / 2, decisions.toString());
    }

    @Test
    void begin_afterCommittedMove_replaysAndRunsTokensOfEarlierEpoch() {
        Simulation simulation = new Simulation(1);
        AttemptToken ran = simulation.ledger.issue(simulation.random);
        AttemptToken fresh = simulation.ledger.issue(simulation.random);
        simulation.ledger.begin(ran);
        simulation.ledger.recordResponse(ran, new RecordedResponse(201, List.of(), new byte[0]));
        Daemon target = simulation.daemons.get(1);
        target.inbox.store(PARTITION, simulation.owner.session, simulation.ledger.exportAndSeal(2));
        assertEquals(new AttemptDecision.HandedOver(), simulation.ledger.begin(fresh));
        simulation.version = 2;
        simulation.grantTo(target);
        assertTrue(simulation.ledger.begin(ran) instanceof AttemptDecision.Replay);
        assertEquals(new AttemptDecision.Run(), simulation.ledger.begin(fresh));
    }

    @Test
    void begin_afterFailover_isUnknownForEarlierEpochsAndOtherPartitions() {
        Simulation simulation = new Simulation(1);
        AttemptToken token = simulation.ledger.issue(simulation.random);
        simulation.failover();
        AttemptToken elsewhere = new AttemptToken(
                new PartitionId(PARTITION.service(), 4), simulation.version, token.issuedMillis(), token.random());
        assertEquals(
                new AttemptDecision.OutcomeUnknown(AttemptDecision.Reason.EPOCH_NOT_COVERED),
                simulation.ledger.begin(token));
        assertEquals(
                new AttemptDecision.OutcomeUnknown(AttemptDecision.Reason.NOT_ISSUED_HERE),
                simulation.ledger.begin(elsewhere));
    }

    @Test
    void begin_beyondLimits_staysWithinThemAndEvictsNoRunningAttempt() {
        Simulation simulation = new Simulation(1);
        AttemptToken running = simulation.ledger.issue(simulation.random);
        simulation.ledger.begin(running);
        for (int i = 0; i < 100; i++) {
            simulation.owner.time.advance(Duration.ofMillis(5));
            AttemptToken token = simulation.ledger.issue(simulation.random);
            assertEquals(new AttemptDecision.Run(), simulation.ledger.begin(token));
            simulation.ledger.recordUnknownOutcome(token);
            assertTrue(simulation.ledger.size() <= SMALL_LIMITS.maxRecords());
        }
        assertEquals(new AttemptDecision.Join(), simulation.ledger.begin(running));
    }
}
