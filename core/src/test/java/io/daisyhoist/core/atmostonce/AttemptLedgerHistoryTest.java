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
 * Guards against an operation that runs twice and against a false "not run", over random histories of resends, lost
 * responses, dropped records, planned moves (committed, abandoned, with late and repeated transfers) and failovers. The
 * oracle counts real runs per token and knows nothing of records, marks or epochs.
 */
class AttemptLedgerHistoryTest {
    private static final PartitionId PARTITION = new PartitionId(new ServiceName("dispatch"), 3);
    private static final LedgerLimits SMALL = new LedgerLimits(Duration.ofMinutes(2), 12, 6_000, 40);

    private static final class Daemon {
        private final ManualTime time = new ManualTime();
        private final TransferInbox inbox = new TransferInbox();
        private SessionId session;
    }

    private static final class World {
        private final Random random;
        private final List<Daemon> daemons = new ArrayList<>();
        private final List<AttemptToken> tokens = new ArrayList<>();
        private final Map<AttemptToken, String> runs = new HashMap<>();
        private final List<AttemptToken> running = new ArrayList<>();
        private final List<Runnable> delayedTransfers = new ArrayList<>();
        private final Map<String, Integer> decisions = new HashMap<>();
        private Daemon owner;
        private AttemptLedger ledger;
        private long version = 1;

        World(long seed) {
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
            int dice = random.nextInt(100);
            if (dice < 20) {
                tokens.add(ledger.issue(random));
            } else if (dice < 65) {
                sendAnyToken();
            } else if (dice < 85) {
                endOneRun();
            } else if (dice < 90) {
                daemons.forEach(daemon -> daemon.time.advance(Duration.ofSeconds(10)));
            } else if (dice < 92) {
                owner.time.stepWallClock(Duration.ofSeconds(random.nextInt(40) - 20));
            } else if (dice < 96) {
                plannedMove();
            } else if (dice < 97) {
                failover();
            } else if (!delayedTransfers.isEmpty()) {
                delayedTransfers.get(random.nextInt(delayedTransfers.size())).run();
            }
        }

        private void sendAnyToken() {
            if (tokens.isEmpty()) {
                return;
            }
            int back = Math.min(tokens.size() - 1, (int) Math.abs(random.nextGaussian() * 10));
            AttemptToken token = tokens.get(tokens.size() - 1 - back);
            AttemptDecision decision = ledger.begin(token);
            decisions.merge(decision.getClass().getSimpleName(), 1, Integer::sum);
            if (decision instanceof AttemptDecision.Run) {
                assertTrue(!runs.containsKey(token) && !running.contains(token), "second run of " + token);
                running.add(token);
            } else if (decision instanceof AttemptDecision.Replay replay) {
                assertEquals(runs.get(token), new String(replay.response().body(), StandardCharsets.UTF_8));
            } else if (decision instanceof AttemptDecision.AlreadyRun) {
                assertNotNull(runs.get(token), "called run but never ran: " + token);
            } else if (decision instanceof AttemptDecision.HandedOver) {
                assertTrue(!runs.containsKey(token) && !running.contains(token), "called not run here: " + token);
            } else if (decision instanceof AttemptDecision.Join) {
                assertTrue(running.contains(token), "nothing to wait for: " + token);
            }
        }

        private void endOneRun() {
            if (running.isEmpty()) {
                return;
            }
            AttemptToken token = running.remove(random.nextInt(running.size()));
            int dice = random.nextInt(10);
            if (dice < 6) {
                String body = "x".repeat(random.nextInt(60));
                runs.put(token, body);
                ledger.finished(token, new RecordedResponse(200, List.of(), body.getBytes(StandardCharsets.UTF_8)));
            } else if (dice < 8) {
                ledger.notRun(token);
            } else {
                runOrNot(token);
                ledger.unknown(token);
            }
        }

        private void runOrNot(AttemptToken token) {
            if (random.nextBoolean()) {
                runs.put(token, "lost");
            }
        }

        private void plannedMove() {
            ledger.seal();
            sendAnyToken();
            while (!running.isEmpty()) {
                endOneRun();
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
                // Abandoned before the write: the owner resumes while its transfer may still arrive.
                ledger.resume();
                return;
            }
            deliver.run();
            if (random.nextBoolean()) {
                // An earlier transfer overtakes nothing when it arrives again between the acknowledgement and the
                // write.
                Collections.shuffle(delayedTransfers, random);
                delayedTransfers.forEach(Runnable::run);
            }
            if (random.nextInt(4) == 0) {
                // Another change took the version, so the write conflicts.
                version++;
                ledger.resume();
                return;
            }
            version++;
            grantTo(target);
        }

        private void failover() {
            running.forEach(this::runOrNot);
            running.clear();
            owner.session = owner.session.next();
            version++;
            Daemon next = daemons.get(random.nextInt(daemons.size()));
            grantTo(next);
        }

        private void grantTo(Daemon daemon) {
            owner = daemon;
            ledger = new AttemptLedger(PARTITION, version, SMALL, daemon.time);
            daemon.inbox
                    .take(PARTITION, version, session -> daemons.stream().anyMatch(any -> any.session.equals(session)))
                    .ifPresent(ledger::importAll);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 1_000, 2_000, 3_000})
    void begin_anyHistory_runsAtMostOnce(long firstSeed) {
        Map<String, Integer> decisions = new HashMap<>();
        for (long seed = firstSeed; seed < firstSeed + 500; seed++) {
            World world = new World(seed);
            for (int i = 0; i < 400; i++) {
                try {
                    world.step();
                } catch (AssertionError e) {
                    throw new AssertionError("seed " + seed + " step " + i + ": " + e.getMessage(), e);
                }
            }
            world.decisions.forEach((decision, count) -> decisions.merge(decision, count, Integer::sum));
        }
        // Without each kind of decision the histories would prove little.
        assertEquals(6, decisions.size(), decisions.toString());
        assertTrue(decisions.get("Run") > decisions.get("OutcomeUnknown") / 2, decisions.toString());
    }

    @Test
    void begin_afterCommittedMove_replaysAndRunsTokensOfTheEarlierEpoch() {
        World world = new World(1);
        AttemptToken ran = world.ledger.issue(world.random);
        AttemptToken fresh = world.ledger.issue(world.random);
        world.ledger.begin(ran);
        world.ledger.finished(ran, new RecordedResponse(201, List.of(), new byte[0]));
        Daemon target = world.daemons.get(1);
        target.inbox.store(PARTITION, world.owner.session, world.ledger.exportAndSeal(2));
        assertEquals(new AttemptDecision.HandedOver(), world.ledger.begin(fresh));
        world.version = 2;
        world.grantTo(target);
        assertTrue(world.ledger.begin(ran) instanceof AttemptDecision.Replay);
        assertEquals(new AttemptDecision.Run(), world.ledger.begin(fresh));
    }

    @Test
    void begin_afterFailover_isUnknownForEarlierEpochsAndOtherPartitions() {
        World world = new World(1);
        AttemptToken token = world.ledger.issue(world.random);
        world.failover();
        AttemptToken elsewhere = new AttemptToken(
                new PartitionId(PARTITION.service(), 4), world.version, token.issuedMillis(), token.random());
        assertEquals(
                new AttemptDecision.OutcomeUnknown(AttemptDecision.Reason.EPOCH_NOT_COVERED),
                world.ledger.begin(token));
        assertEquals(
                new AttemptDecision.OutcomeUnknown(AttemptDecision.Reason.NOT_ISSUED_HERE),
                world.ledger.begin(elsewhere));
    }

    @Test
    void begin_beyondTheBounds_keepsWithinThemAndDropsNoRunningAttempt() {
        World world = new World(1);
        AttemptToken running = world.ledger.issue(world.random);
        world.ledger.begin(running);
        for (int i = 0; i < 100; i++) {
            world.owner.time.advance(Duration.ofMillis(5));
            AttemptToken token = world.ledger.issue(world.random);
            assertEquals(new AttemptDecision.Run(), world.ledger.begin(token));
            world.ledger.unknown(token);
            assertTrue(world.ledger.size() <= SMALL.maxRecords());
        }
        assertEquals(new AttemptDecision.Join(), world.ledger.begin(running));
    }
}
