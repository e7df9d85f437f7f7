package io.daisyhoist.core.customer;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;

/**
 * Age of the last proof that the daemon's configuration is the newest one, and whether requests with API keys may run by it.
 *
 * <p>A proof is dated by the time at which the question was sent, because a later configuration may be older than the
 * answer. The monotonic clock stops while the instance is suspended and the wall clock may be set in either direction, so
 * the age is the larger of both differences, and a change of one clock against the other voids the proof and all questions
 * that are waiting for an answer. Invariants: with a revocation limit, {@link #permitsKeys} is false from before the limit
 * has passed since the question of the last proof; the age never depends on when an answer arrived. Not detected: a
 * suspension and an opposite step of the wall clock of the same length between two calls; to be called several times per
 * second. Thread-safe.
 */
public final class ConfigConfirmation {
    /** Difference of the clocks that is tolerated since a question; more is a step or a suspension. */
    static final Duration MAX_CLOCK_STEP = Duration.ofMillis(250);

    /** Largest fraction by which a clock may run slow. */
    private static final double MAX_CLOCK_DRIFT = 0.03;

    /** The clocks of the daemon that asked the store and of the one that asked that daemon. */
    private static final int CLOCKS = 2;

    /**
     * Age up to which a key that is in no known configuration is reported as unknown. Less than the time in which a
     * configuration has to be in force, which is the time after which a client may rely on a new key.
     */
    private static final Duration MAX_AGE_FOR_UNKNOWN_KEY = Duration.ofMillis(2_000);

    private final TimeSource time;
    private final Optional<Duration> usableAge;
    private Optional<Proof> proof = Optional.empty();
    private ElapsedTimer reference;
    private long clockSteps;

    /**
     * Question whether the configuration is the newest one. Immutable.
     *
     * @param sentAt time of the question
     * @param clockSteps number of clock steps before the question
     */
    public record Question(ElapsedTimer sentAt, long clockSteps) {}

    private record Proof(ElapsedTimer askedAt, Duration ageAtAnswer) {}

    /**
     * Creates a state without a proof.
     *
     * @param revocationDelay time after which a removed key must not admit requests; empty if there is no such limit
     */
    public ConfigConfirmation(TimeSource time, Optional<Duration> revocationDelay) {
        this.time = time;
        this.usableAge = revocationDelay.map(ConfigConfirmation::usableAge);
        this.reference = ElapsedTimer.start(time);
    }

    private static Duration usableAge(Duration limit) {
        return Duration.ofNanos((long) (limit.toNanos() * (1 - MAX_CLOCK_DRIFT)))
                .minus(MAX_CLOCK_STEP.multipliedBy(CLOCKS));
    }

    /** Begins a question; to be called before it is sent. */
    public synchronized Question ask() {
        detectClockStep();
        return new Question(ElapsedTimer.start(time), clockSteps);
    }

    /**
     * Records the answer that the daemon's configuration is the newest one; the configuration must be in force already.
     *
     * @param ageAtAnswer age of the proof at the daemon that answered; zero if the store answered
     * @return false if the answer proves nothing, because a clock was set since the question
     */
    public synchronized boolean onConfirmed(Question question, Duration ageAtAnswer) {
        detectClockStep();
        if (question.clockSteps() != clockSteps || ageAtAnswer.isNegative()) {
            return false;
        }
        Proof next = new Proof(question.sentAt(), ageAtAnswer);
        if (proof.isEmpty() || age(next).compareTo(age(proof.get())) < 0) {
            proof = Optional.of(next);
            reference = question.sentAt();
        }
        return true;
    }

    /** Returns the time since the last proof was asked for; empty without a proof. */
    public synchronized Optional<Duration> age() {
        detectClockStep();
        return proof.map(this::age);
    }

    private Duration age(Proof known) {
        return known.askedAt().elapsed(time).plus(known.ageAtAnswer());
    }

    /** Returns whether requests with API keys may run at this moment by the configuration that is in force. */
    public boolean permitsKeys() {
        return usableAge.isEmpty() || isConfirmedWithin(usableAge.get());
    }

    /** Returns whether a key that is in no known configuration is certainly in none that clients may rely on. */
    public boolean isCurrent() {
        return isConfirmedWithin(MAX_AGE_FOR_UNKNOWN_KEY);
    }

    private boolean isConfirmedWithin(Duration limit) {
        return age().filter(known -> known.compareTo(limit) < 0).isPresent();
    }

    /** Voids the proof if one clock was set or stood still since its question; to be called several times per second. */
    public synchronized void detectClockStep() {
        // A pause between the reads of the two clocks looks like a step, but only once.
        if (hasStepped(ElapsedTimer.start(time)) && hasStepped(ElapsedTimer.start(time))) {
            clockSteps++;
            reference = ElapsedTimer.start(time);
            proof = Optional.empty();
        }
    }

    private boolean hasStepped(ElapsedTimer now) {
        Duration monotonic = Duration.ofNanos(now.startNanos() - reference.startNanos());
        Duration wall = Duration.between(reference.startWall(), now.startWall());
        return wall.minus(monotonic).abs().compareTo(MAX_CLOCK_STEP) > 0;
    }
}
