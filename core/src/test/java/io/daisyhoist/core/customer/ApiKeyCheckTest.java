package io.daisyhoist.core.customer;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;

import io.daisyhoist.core.customer.ApiKeyCheck.Verdict;
import io.daisyhoist.core.time.TimeSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ApiKeyCheckTest {
    private static final Duration LIMIT = Duration.ofSeconds(5);
    private static final ApiKeyHash KEY = ApiKeyHash.ofKey("key-of-a");
    private static final CustomerName CUSTOMER = new CustomerName("a");
    private static final CustomerCredential CREDENTIAL = new CustomerCredential(CUSTOMER, KEY);
    private static final CustomerTable WITH_KEY = table("a", KEY);
    private static final CustomerTable WITHOUT_KEY = table("a", ApiKeyHash.ofKey("other"));

    private final Clocks clocks = new Clocks();
    private final ConfigConfirmation confirmation = new ConfigConfirmation(clocks, Optional.of(LIMIT));
    private Optional<CustomerTable> customers = Optional.of(WITH_KEY);
    private final ApiKeyCheck check = new ApiKeyCheck(confirmation, () -> customers);

    /** Clocks whose instance can be suspended and whose wall clock can be set. */
    private static final class Clocks implements TimeSource {
        private long monotonicNanos;
        private Instant wallTime = Instant.EPOCH;

        private void pass(long millis) {
            monotonicNanos += Duration.ofMillis(millis).toNanos();
            setWallClock(millis);
        }

        /** Stops the monotonic clock while the wall clock goes on, or sets the wall clock. */
        private void setWallClock(long millis) {
            wallTime = wallTime.plusMillis(millis);
        }

        @Override
        public long monotonicNanos() {
            return monotonicNanos;
        }

        @Override
        public Instant wallTime() {
            return wallTime;
        }
    }

    private static CustomerTable table(String name, ApiKeyHash key) {
        return new CustomerTable(
                List.of(new Customer(new CustomerName(name), Set.of(key), OptionalInt.empty(), Optional.empty())));
    }

    private void confirm() {
        assertTrue(confirmation.onConfirmed(confirmation.ask(), Duration.ZERO));
    }

    @Nested
    class Keys {
        @Test
        void check_keyOfACustomer_isValid() {
            confirm();
            assertEquals(Verdict.VALID, check.check(WITH_KEY, KEY));
            assertEquals(Verdict.VALID, check.recheck(CREDENTIAL));
        }

        /** Guards against a final 401 for a key that a configuration has which has not arrived yet. */
        @Test
        void check_unknownKey_isFinalOnlyIfTheConfigurationIsCurrent() {
            confirm();
            clocks.pass(1_900);
            assertEquals(Verdict.UNKNOWN, check.check(WITHOUT_KEY, KEY));
            clocks.pass(200);
            assertEquals(Verdict.UNCONFIRMED, check.check(WITHOUT_KEY, KEY));
        }

        /** Guards against running a request that was accepted by another daemon for a key that has moved or was removed. */
        @Test
        void recheck_keyRemovedOrOfAnotherCustomer_isUnknown() {
            confirm();
            customers = Optional.of(WITHOUT_KEY);
            assertEquals(Verdict.UNKNOWN, check.recheck(CREDENTIAL));
            customers = Optional.of(table("b", KEY));
            assertEquals(Verdict.UNKNOWN, check.recheck(CREDENTIAL));
            customers = Optional.of(CustomerTable.EMPTY);
            assertEquals(Verdict.UNKNOWN, check.recheck(CREDENTIAL));
            customers = Optional.empty();
            assertEquals(Verdict.UNCONFIRMED, check.recheck(CREDENTIAL));
        }

        /** Guards against a fleet that needs no keys because none of its customers could be decoded. */
        @Test
        void table_withoutUsableCustomers_stillNeedsKeys() {
            assertFalse(new CustomerTable(List.of(), true).isEmpty());
            assertTrue(new CustomerTable(List.of()).isEmpty());
        }

        @Test
        void permitsKeys_noRevocationLimit_needsNoProof() {
            ConfigConfirmation unlimited = new ConfigConfirmation(clocks, Optional.empty());
            clocks.pass(100_000);
            assertEquals(Verdict.VALID, new ApiKeyCheck(unlimited, () -> customers).recheck(CREDENTIAL));
        }
    }

    @Nested
    class RevocationLimit {
        @Test
        void permitsKeys_withoutProof_isFalse() {
            assertEquals(Verdict.UNCONFIRMED, check.check(WITH_KEY, KEY));
            assertEquals(Verdict.UNCONFIRMED, check.recheck(CREDENTIAL));
        }

        /** Guards against keys that admit requests while the store does not answer, by a configuration that is too old. */
        @Test
        void permitsKeys_storeFrozen_endsBeforeTheLimitAndNotMuchEarlier() {
            confirm();
            clocks.pass(4_200);
            assertTrue(confirmation.permitsKeys());
            clocks.pass(400);
            assertFalse(confirmation.permitsKeys());
        }

        /** Guards against dating a proof by its arrival: the configuration may have changed since the question. */
        @Test
        void onConfirmed_answerIsLate_countsFromTheQuestion() {
            ConfigConfirmation.Question question = confirmation.ask();
            clocks.pass(4_000);
            assertTrue(confirmation.onConfirmed(question, Duration.ZERO));
            assertTrue(confirmation.permitsKeys());
            clocks.pass(600);
            assertFalse(confirmation.permitsKeys());
        }

        @Test
        void onConfirmed_answerOfAnotherDaemon_addsItsAge() {
            ConfigConfirmation.Question question = confirmation.ask();
            clocks.pass(1_000);
            assertTrue(confirmation.onConfirmed(question, Duration.ofMillis(3_000)));
            assertEquals(Duration.ofSeconds(4), confirmation.age().orElseThrow());
        }

        /** Guards against an old answer that arrives after a newer one and makes the proof older. */
        @Test
        void onConfirmed_olderProof_isNotUsed() {
            ConfigConfirmation.Question early = confirmation.ask();
            clocks.pass(1_000);
            confirm();
            assertTrue(confirmation.onConfirmed(early, Duration.ZERO));
            assertEquals(Duration.ZERO, confirmation.age().orElseThrow());
        }

        /** Guards against an instance that resumes after a suspension and takes its proof for young. */
        @Test
        void permitsKeys_suspended_isFalseUntilProvedAgain() {
            confirm();
            clocks.setWallClock(4_800);
            assertFalse(confirmation.permitsKeys());
            confirm();
            assertTrue(confirmation.permitsKeys());
        }

        /** Guards against an answer that was under way while the instance was suspended and whose delay is not known. */
        @Test
        void onConfirmed_suspendedSinceTheQuestion_provesNothing() {
            ConfigConfirmation.Question question = confirmation.ask();
            clocks.setWallClock(4_800);
            assertFalse(confirmation.onConfirmed(question, Duration.ZERO));
            assertFalse(confirmation.permitsKeys());
        }

        /** Guards against a suspension that a later step back of the wall clock hides, or an earlier one. */
        @ParameterizedTest
        @ValueSource(longs = {-6_000, 6_000})
        void permitsKeys_clockSetAndInstanceSuspended_isFalse(long stepMillis) {
            confirm();
            clocks.setWallClock(stepMillis);
            confirmation.detectClockStep();
            clocks.setWallClock(-stepMillis);
            assertFalse(confirmation.permitsKeys());
        }

        /** Guards against refusing requests because clocks drift apart slowly, as clock synchronization makes them. */
        @Test
        void permitsKeys_clocksDriftSlowly_isTrue() {
            for (int i = 0; i < 10_000; i++) {
                confirm();
                clocks.pass(500);
                clocks.setWallClock(i % 2 == 0 ? 1 : 0);
                assertTrue(confirmation.permitsKeys(), "after " + i);
            }
        }

        /**
         * Guards against any order of questions, late answers, suspensions and clock steps by which a proof is used longer
         * than the limit, counted by a clock that never stops.
         */
        @Test
        void permitsKeys_randomHistories_neverBeyondTheLimit() {
            for (int seed = 0; seed < 300; seed++) {
                Random random = new Random(seed);
                Clocks instance = new Clocks();
                ConfigConfirmation tested = new ConfigConfirmation(instance, Optional.of(LIMIT));
                long trueMillis = 0;
                long questionMillis = 0;
                long provedMillis = Long.MIN_VALUE / 2;
                ConfigConfirmation.Question question = tested.ask();
                for (int step = 0; step < 300; step++) {
                    long millis = random.nextInt(400);
                    switch (random.nextInt(20)) {
                        case 0 -> {
                            long suspendedMillis = random.nextInt(6_000);
                            trueMillis += suspendedMillis;
                            instance.setWallClock(suspendedMillis);
                        }
                        case 1 -> instance.setWallClock(random.nextInt(12_000) - 6_000);
                        case 2, 3, 4 -> {
                            question = tested.ask();
                            questionMillis = trueMillis;
                        }
                        case 5, 6 -> {
                            if (tested.onConfirmed(question, Duration.ZERO)) {
                                provedMillis = Math.max(provedMillis, questionMillis);
                            }
                        }
                        default -> {
                            trueMillis += millis;
                            instance.pass(millis);
                        }
                    }
                    boolean permitted = tested.permitsKeys();
                    boolean young = trueMillis - provedMillis < LIMIT.toMillis();
                    assertTrue(young || !permitted, "seed " + seed + " step " + step);
                }
            }
        }
    }
}
