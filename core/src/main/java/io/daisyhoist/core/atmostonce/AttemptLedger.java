package io.daisyhoist.core.atmostonce;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import io.daisyhoist.core.atmostonce.AttemptDecision.Reason;
import io.daisyhoist.core.atmostonce.AttemptRecord.State;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;

/**
 * Records of the non-repeatable attempts of one partition during one ownership.
 *
 * <p>Invariant: for each covered epoch, a token without a record that was issued after the epoch's drop mark has never
 * run. Dropping a record raises the mark to its issue time, so the invariant does not depend on any clock: marks compare
 * only issue times of one epoch. Confined to one thread.
 */
public final class AttemptLedger {
    /** Tokens dated further ahead than this are not accepted; owners' clocks are assumed to differ by less. */
    private static final Duration FUTURE_TOLERANCE = Duration.ofMinutes(1);

    private static final long NONE_DROPPED = -1;

    /** Enough for a partition that moves every 40 s during the life of a token. */
    private static final int MAX_COVERED_EPOCHS = 16;

    private final PartitionId partition;
    private final long epoch;
    private final LedgerLimits limits;
    private final TimeSource time;
    private final NavigableMap<Long, Long> droppedUpToMillis = new TreeMap<>();
    private final Map<AttemptToken, Entry> entries = new LinkedHashMap<>();
    private long sizeBytes;
    private int exports;
    private boolean sealed;

    private record Entry(AttemptRecord attempt, ElapsedTimer begun) {}

    /** Creates the ledger of a new ownership; it covers its own epoch only, until records are imported. */
    public AttemptLedger(PartitionId partition, long epoch, LedgerLimits limits, TimeSource time) {
        this.partition = partition;
        this.epoch = epoch;
        this.limits = limits;
        this.time = time;
        droppedUpToMillis.put(epoch, NONE_DROPPED);
    }

    /** Issues a token of this ownership. */
    public AttemptToken issue(RandomGenerator random) {
        return AttemptToken.issue(partition, epoch, time.wallTime(), random);
    }

    /** Decides about an attempt; after {@link AttemptDecision.Run} the caller must report its end. */
    public AttemptDecision begin(AttemptToken token) {
        dropExpired();
        if (!token.partition().equals(partition)) {
            return new AttemptDecision.OutcomeUnknown(Reason.NOT_ISSUED_HERE);
        }
        Entry entry = entries.get(token);
        if (entry != null) {
            return decide(entry.attempt());
        }
        Optional<Reason> doubt = reasonNotToRun(token);
        if (doubt.isPresent()) {
            return new AttemptDecision.OutcomeUnknown(doubt.get());
        }
        if (sealed) {
            return new AttemptDecision.HandedOver();
        }
        put(new AttemptRecord(token, State.RUNNING, Optional.empty()), ElapsedTimer.start(time));
        dropExcess();
        return new AttemptDecision.Run();
    }

    /** Records the response of a run. */
    public void finished(AttemptToken token, RecordedResponse response) {
        boolean kept = response.body().length <= limits.maxBodyBytes();
        settle(token, State.FINISHED, Optional.of(response).filter(any -> kept));
    }

    /** Records that the run of a token may or may not have happened. */
    public void unknown(AttemptToken token) {
        settle(token, State.UNKNOWN, Optional.empty());
    }

    /** Removes the record of a run that certainly did not happen, so that a resend may run. */
    public void notRun(AttemptToken token) {
        Entry entry = entries.get(token);
        if (entry != null && entry.attempt().state() == State.RUNNING) {
            remove(token);
        }
    }

    /** Returns the number of attempts that run now. */
    public long running() {
        return entries.values().stream()
                .filter(entry -> entry.attempt().state() == State.RUNNING)
                .count();
    }

    /** Returns the number of records. */
    public int size() {
        return entries.size();
    }

    /** Returns the epochs for which a missing record means that a token never ran. */
    public Set<Long> coveredEpochs() {
        return Set.copyOf(droppedUpToMillis.keySet());
    }

    /** Stops new runs, so that those in flight can end before the export; resends are still answered from the records. */
    public void seal() {
        sealed = true;
    }

    /**
     * Stops new runs and returns the records for the next owner. The sender commits the move only after the receiver has
     * acknowledged its latest export, and exports again when the expected record version changes.
     *
     * @param targetEpoch epoch that the receiver's grant will have
     * @throws IllegalStateException if an attempt still runs
     */
    public LedgerExport exportAndSeal(long targetEpoch) {
        if (running() > 0) {
            throw new IllegalStateException("attempts still run: " + running());
        }
        seal();
        exports++;
        List<AttemptRecord> records =
                entries.values().stream().map(Entry::attempt).toList();
        return new LedgerExport(epoch, targetEpoch, exports, droppedUpToMillis, records);
    }

    /** Allows new runs again, after the move certainly did not happen and can no longer happen. */
    public void resume() {
        sealed = false;
    }

    /**
     * Takes over the records of the previous owner, as returned by {@link TransferInbox#take}; also useful if they arrive
     * after the ownership has begun.
     */
    public void importAll(LedgerExport export) {
        export.droppedUpToMillis().forEach((covered, mark) -> droppedUpToMillis.merge(covered, mark, Math::max));
        while (droppedUpToMillis.size() > MAX_COVERED_EPOCHS) {
            droppedUpToMillis.pollFirstEntry();
        }
        export.records().forEach(attempt -> {
            if (!entries.containsKey(attempt.token())) {
                put(attempt, ElapsedTimer.start(time));
            }
        });
        dropExcess();
    }

    private AttemptDecision decide(AttemptRecord attempt) {
        return switch (attempt.state()) {
            case RUNNING -> new AttemptDecision.Join();
            case UNKNOWN -> new AttemptDecision.OutcomeUnknown(Reason.RUN_LOST);
            case FINISHED ->
                attempt.response()
                        .<AttemptDecision>map(AttemptDecision.Replay::new)
                        .orElseGet(AttemptDecision.AlreadyRun::new);
        };
    }

    private Optional<Reason> reasonNotToRun(AttemptToken token) {
        Long mark = droppedUpToMillis.get(token.epoch());
        if (mark == null) {
            return Optional.of(Reason.EPOCH_NOT_COVERED);
        }
        long ageMillis = time.wallTime().toEpochMilli() - token.issuedMillis();
        if (ageMillis < -FUTURE_TOLERANCE.toMillis()) {
            return Optional.of(Reason.NOT_ISSUED_HERE);
        }
        boolean expired = ageMillis > limits.tokenLifetime().toMillis() || token.issuedMillis() <= mark;
        return expired ? Optional.of(Reason.EXPIRED) : Optional.empty();
    }

    private void settle(AttemptToken token, State state, Optional<RecordedResponse> response) {
        Entry entry = entries.get(token);
        if (entry == null || entry.attempt().state() == State.FINISHED) {
            return;
        }
        sizeBytes -= entry.attempt().sizeBytes();
        put(new AttemptRecord(token, state, response), entry.begun());
        dropExcess();
    }

    private void put(AttemptRecord attempt, ElapsedTimer begun) {
        entries.put(attempt.token(), new Entry(attempt, begun));
        sizeBytes += attempt.sizeBytes();
    }

    private void remove(AttemptToken token) {
        sizeBytes -= entries.remove(token).attempt().sizeBytes();
    }

    private void dropExpired() {
        dropWhile(entry -> entry.begun().elapsed(time).compareTo(limits.tokenLifetime()) > 0);
    }

    private void dropExcess() {
        dropWhile(entry -> entries.size() > limits.maxRecords() || sizeBytes > limits.maxBytes());
    }

    /** Drops settled records, the one that began first first, for as long as the condition holds. */
    private void dropWhile(Predicate<Entry> condition) {
        Iterator<Entry> oldestFirst = entries.values().iterator();
        while (oldestFirst.hasNext()) {
            Entry entry = oldestFirst.next();
            if (!condition.test(entry)) {
                return;
            }
            if (entry.attempt().state() != State.RUNNING) {
                AttemptToken token = entry.attempt().token();
                oldestFirst.remove();
                sizeBytes -= entry.attempt().sizeBytes();
                droppedUpToMillis.computeIfPresent(
                        token.epoch(), (epochOfToken, mark) -> Math.max(mark, token.issuedMillis()));
            }
        }
    }
}
