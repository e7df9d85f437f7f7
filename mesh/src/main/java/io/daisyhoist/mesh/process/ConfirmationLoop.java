package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.customer.ConfigConfirmation;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.process.ControlExecutor;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.daisyhoist.wire.proto.ConfigFetch;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.FleetLoad;

/**
 * Keeps proving that the configuration in force is the newest one, in fleets with customers.
 *
 * <p>A daemon that watches the store asks the store; its followers ask that daemon, whose answer has the age of its own
 * proof. A follower dates the proof by the time of its own question, so that time in transit counts. A follower whose proof
 * becomes old asks the store itself, and another daemon if the store does not answer it. Invariants: a proof is recorded
 * only while this daemon knows a configuration at least as new as the proven one; at most one question is in progress.
 * Confined to the control thread.
 */
final class ConfirmationLoop {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Short, because requests with keys are refused from a step of a clock to the next proof. */
    static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    /** Two intervals and two round trips, the age at a follower, stay below {@link #MIN_OWN_QUESTION_AGE}. */
    private static final Duration INTERVAL = Duration.ofMillis(600);

    /** Age of a proof at which a follower asks the store itself; random, so that followers do not ask together. */
    private static final Duration MIN_OWN_QUESTION_AGE = Duration.ofMillis(1_600);

    private static final Duration OWN_QUESTION_JITTER = Duration.ofMillis(400);

    /** Questions to other daemons after the store has not answered; some of them may be cut off from it as well. */
    private static final int MAX_QUESTIONS_TO_OTHERS = 4;

    /** Longer than usual round trips of busy instances, short enough to ask the store in time afterwards. */
    private static final Duration PEER_TIMEOUT = Duration.ofMillis(300);

    /** Longer than the timeout of any call, so that a failed callback does not end the loop. */
    private static final Duration MAX_QUESTION_TIME = Duration.ofSeconds(3);

    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(200);
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(1_000);

    private final DaemonId self;
    private final ControlExecutor control;
    private final TimeSource time;
    private final StoreCache operatorCache;
    private final ConfigConfirmation confirmation;
    private final Supplier<FleetSnapshot> fleet;
    private final Supplier<Optional<FleetMember>> watcher;
    private final FleetControl.PeerSender peers;
    private final SplittableRandom random;
    private final Backoff retryBackoff = new Backoff(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    private ElapsedTimer lastQuestion;
    private Duration nextQuestionAfter = Duration.ZERO;
    private Duration ownQuestionAge = MIN_OWN_QUESTION_AGE;
    private boolean inProgress;
    private boolean lastConfirmed;
    private int questionsToOthers;
    private boolean permitting;

    /**
     * What the loop reads and keeps current. Immutable.
     *
     * @param operatorCache copy of the operators' items
     * @param confirmation age of the last proof
     * @param fleet present state of the fleet, with the configuration in force
     * @param watcher daemon that passes changes of the store on to this one; empty if this one watches the store itself
     */
    record State(
            StoreCache operatorCache,
            ConfigConfirmation confirmation,
            Supplier<FleetSnapshot> fleet,
            Supplier<Optional<FleetMember>> watcher) {}

    /** Creates a loop that has asked nothing. */
    ConfirmationLoop(DaemonId self, StoreAccess access, State state, FleetControl.PeerSender peers, long seed) {
        this.self = self;
        this.control = access.control();
        this.time = access.time();
        this.operatorCache = state.operatorCache();
        this.confirmation = state.confirmation();
        this.fleet = state.fleet();
        this.watcher = state.watcher();
        this.peers = peers;
        this.random = new SplittableRandom(seed);
        this.lastQuestion = ElapsedTimer.start(time);
    }

    /** Asks again if it is time; to be called each {@link #TICK_INTERVAL}. */
    void tick() {
        confirmation.detectClockStep();
        if (!hasCustomers()) {
            return;
        }
        logChange();
        // A clock step has voided a proof; there is nothing to wait for.
        boolean voided = lastConfirmed && confirmation.age().isEmpty();
        boolean due = voided || lastQuestion.elapsed(time).compareTo(nextQuestionAfter) >= 0;
        boolean waiting = inProgress && lastQuestion.elapsed(time).compareTo(MAX_QUESTION_TIME) < 0;
        if (waiting || !due) {
            return;
        }
        Optional<FleetMember> daemon = isYoung() ? watcher.get() : Optional.empty();
        if (daemon.isEmpty() && questionsToOthers > 0) {
            questionsToOthers--;
            daemon = randomMember();
        }
        daemon.ifPresentOrElse(this::askDaemon, this::askStore);
    }

    private boolean isYoung() {
        return confirmation
                .age()
                .filter(age -> age.compareTo(ownQuestionAge) < 0)
                .isPresent();
    }

    private Optional<FleetMember> randomMember() {
        List<FleetMember> others = fleet.get().members().values().stream()
                .filter(member -> !member.daemon().equals(self))
                .toList();
        return others.isEmpty() ? Optional.empty() : Optional.of(others.get(random.nextInt(others.size())));
    }

    /** Returns whether the configuration in force has customers, so that proofs are needed. */
    boolean hasCustomers() {
        return fleet.get()
                .config()
                .filter(known -> !known.customers().isEmpty())
                .isPresent();
    }

    private ConfigConfirmation.Question begin() {
        inProgress = true;
        lastConfirmed = false;
        lastQuestion = ElapsedTimer.start(time);
        ownQuestionAge = MIN_OWN_QUESTION_AGE.plusMillis(random.nextLong(OWN_QUESTION_JITTER.toMillis()));
        return confirmation.ask();
    }

    private void end(boolean confirmed) {
        inProgress = false;
        lastConfirmed = confirmed;
        if (confirmed) {
            retryBackoff.reset();
        }
        nextQuestionAfter = confirmed ? INTERVAL : retryBackoff.nextDelay();
        logChange();
    }

    private void askStore() {
        ConfigConfirmation.Question question = begin();
        control.whenComplete(operatorCache.catchUp(), (complete, failure) -> {
            boolean answered = failure == null && complete;
            questionsToOthers = answered ? 0 : MAX_QUESTIONS_TO_OTHERS;
            end(answered && confirmation.onConfirmed(question, Duration.ZERO));
        });
    }

    private void askDaemon(FleetMember daemon) {
        ConfigConfirmation.Question question = begin();
        Envelope message = Envelope.newBuilder()
                .setConfigFetch(ConfigFetch.newBuilder().setKnownVersion(version()))
                .build();
        control.whenComplete(peers.call(daemon, message, PEER_TIMEOUT), (reply, failure) -> {
            boolean accepted = failure == null && reply.hasFleetLoad() && accept(question, reply.getFleetLoad());
            // The proof of the daemon may be as old as the own one.
            boolean confirmed = accepted && isYoung();
            questionsToOthers = confirmed ? 0 : questionsToOthers;
            end(confirmed);
        });
    }

    /** Returns whether an answer proves that the configuration in force is the newest one. */
    private boolean accept(ConfigConfirmation.Question question, FleetLoad answer) {
        if (!answer.hasConfigConfirmedAgeMs()) {
            return false;
        }
        if (answer.getConfigVersion() > version()) {
            // The change that the watcher passed on is late or was lost.
            operatorCache.catchUp();
            return false;
        }
        return confirmation.onConfirmed(
                question, Duration.ofMillis(Integer.toUnsignedLong(answer.getConfigConfirmedAgeMs())));
    }

    /** Answers the question of a follower; the age is not set without a proof. */
    Envelope answer() {
        FleetLoad.Builder answer = FleetLoad.newBuilder().setDaemon(self.name()).setConfigVersion(version());
        confirmation
                .age()
                .ifPresent(age -> answer.setConfigConfirmedAgeMs(
                        (int) Math.min(Integer.MAX_VALUE, age.plusMillis(1).toMillis())));
        return Envelope.newBuilder().setFleetLoad(answer).build();
    }

    private long version() {
        return fleet.get().config().map(FleetConfig::version).orElse(0L);
    }

    private void logChange() {
        boolean permits = confirmation.permitsKeys();
        if (permits != permitting) {
            permitting = permits;
            LOGGER.atInfo().log(
                    "event=keys_permitted permitted=%s config_version=%d confirmed_ms=%d watcher=%s",
                    permits,
                    version(),
                    confirmation.age().map(Duration::toMillis).orElse(-1L),
                    watcher.get().map(member -> member.daemon().name()).orElse("none"));
        }
    }
}
