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
 * Records the non-repeatable attempts of one partition during one ownership.
 *
 * <p>Invariant: for each covered epoch, a token without a record that was issued after the epoch's eviction watermark
 * has never run. Evicting a record raises the watermark to its issue time. Watermarks are only compared with issue
 * times of the same epoch, so the invariant does not depend on any clock. Confined to one thread.
 */
public final class AttemptLedger {
    /** Assumed bound of the difference between owners' clocks; tokens issued further in the future are not accepted. */
    private static final Duration MAX_CLOCK_SKEW = Duration.ofMinutes(1);

    private static final long NONE_EVICTED = -1;

    /** Covers a partition that moves every 40 s during the lifetime of a token. */
    private static final int MAX_COVERED_EPOCHS = 16;

    private final PartitionId partition;
    private final long epoch;
    private final LedgerLimits limits;
    private final TimeSource time;
    private final NavigableMap<Long, Long> evictionWatermarksMillis = new TreeMap<>();
    private final Map<AttemptToken, Entry> entries = new LinkedHashMap<>();
    private long sizeBytes;
    private int exportCount;
    private boolean sealed;

    private record Entry(AttemptRecord attempt, ElapsedTimer startTimer) {}

    /** Creates the ledger of a new ownership; it covers only its own epoch until records are imported. */
    public AttemptLedger(PartitionId partition, long epoch, LedgerLimits limits, TimeSource time) {
        this.partition = partition;
        this.epoch = epoch;
        this.limits = limits;
        this.time = time;
        evictionWatermarksMillis.put(epoch, NONE_EVICTED);
    }

    /** Issues a token that is valid for this ownership. */
    public AttemptToken issue(RandomGenerator random) {
        return AttemptToken.issue(partition, epoch, time.wallTime(), random);
    }

    /** Decides how to handle an attempt; after {@link AttemptDecision.Run} the caller must report the outcome. */
    public AttemptDecision begin(AttemptToken token) {
        evictExpired();
        if (!token.partition().equals(partition)) {
            return new AttemptDecision.OutcomeUnknown(Reason.NOT_ISSUED_HERE);
        }
        Entry entry = entries.get(token);
        if (entry != null) {
            return decisionFor(entry.attempt());
        }
        Optional<Reason> reason = unknownReason(token);
        if (reason.isPresent()) {
            return new AttemptDecision.OutcomeUnknown(reason.get());
        }
        if (sealed) {
            return new AttemptDecision.HandedOver();
        }
        put(new AttemptRecord(token, State.RUNNING, Optional.empty()), ElapsedTimer.start(time));
        evictExcess();
        return new AttemptDecision.Run();
    }

    /** Records the response of a run. */
    public void recordResponse(AttemptToken token, RecordedResponse response) {
        boolean kept = response.body().length <= limits.maxBodyBytes();
        recordOutcome(token, State.FINISHED, Optional.of(response).filter(recorded -> kept));
    }

    /** Records that an attempt may or may not have run. */
    public void recordUnknownOutcome(AttemptToken token) {
        recordOutcome(token, State.UNKNOWN, Optional.empty());
    }

    /** Removes the record of an attempt that certainly did not run, so that a resend may run. */
    public void removeNotRun(AttemptToken token) {
        Entry entry = entries.get(token);
        if (entry != null && entry.attempt().state() == State.RUNNING) {
            remove(token);
        }
    }

    /** Returns the number of running attempts. */
    public long runningCount() {
        return entries.values().stream()
                .filter(entry -> entry.attempt().state() == State.RUNNING)
                .count();
    }

    /** Returns the number of records. */
    public int size() {
        return entries.size();
    }

    /** Returns the covered epochs: a token of theirs without a record has not run if it is later than the watermark. */
    public Set<Long> coveredEpochs() {
        return Set.copyOf(evictionWatermarksMillis.keySet());
    }

    /**
     * Stops new runs, so that running attempts can end before the export; resends are still answered from the records.
     */
    public void seal() {
        sealed = true;
    }

    /**
     * Stops new runs and exports the records for the next owner. The sender commits the move only after the receiver
     * has acknowledged the latest export, and exports again if the expected record version changes.
     *
     * @param targetEpoch epoch that the receiver's grant will have
     * @throws IllegalStateException if an attempt is still running
     */
    public LedgerExport exportAndSeal(long targetEpoch) {
        if (runningCount() > 0) {
            throw new IllegalStateException("attempts are still running: " + runningCount());
        }
        seal();
        exportCount++;
        List<AttemptRecord> records =
                entries.values().stream().map(Entry::attempt).toList();
        return new LedgerExport(epoch, targetEpoch, exportCount, evictionWatermarksMillis, records);
    }

    /** Allows new runs again, once it is certain that the move has not been committed and no longer can be. */
    public void resume() {
        sealed = false;
    }

    /**
     * Imports the records of the previous owner, as returned by {@link TransferInbox#take}; they may also arrive after
     * the ownership has started.
     */
    public void importRecords(LedgerExport export) {
        export.evictionWatermarksMillis()
                .forEach((coveredEpoch, watermark) ->
                        evictionWatermarksMillis.merge(coveredEpoch, watermark, Math::max));
        while (evictionWatermarksMillis.size() > MAX_COVERED_EPOCHS) {
            evictionWatermarksMillis.pollFirstEntry();
        }
        export.records().forEach(attempt -> {
            if (!entries.containsKey(attempt.token())) {
                put(attempt, ElapsedTimer.start(time));
            }
        });
        evictExcess();
    }

    private AttemptDecision decisionFor(AttemptRecord attempt) {
        return switch (attempt.state()) {
            case RUNNING -> new AttemptDecision.Join();
            case UNKNOWN -> new AttemptDecision.OutcomeUnknown(Reason.RUN_LOST);
            case FINISHED ->
                attempt.response()
                        .<AttemptDecision>map(AttemptDecision.Replay::new)
                        .orElseGet(AttemptDecision.AlreadyRun::new);
        };
    }

    /** Returns why it is unknown whether a token without a record has run; empty when it has never run. */
    private Optional<Reason> unknownReason(AttemptToken token) {
        Long watermark = evictionWatermarksMillis.get(token.epoch());
        if (watermark == null) {
            return Optional.of(Reason.EPOCH_NOT_COVERED);
        }
        long ageMillis = time.wallTime().toEpochMilli() - token.issuedMillis();
        if (ageMillis < -MAX_CLOCK_SKEW.toMillis()) {
            return Optional.of(Reason.NOT_ISSUED_HERE);
        }
        boolean expired = ageMillis > limits.tokenLifetime().toMillis() || token.issuedMillis() <= watermark;
        return expired ? Optional.of(Reason.EXPIRED) : Optional.empty();
    }

    private void recordOutcome(AttemptToken token, State state, Optional<RecordedResponse> response) {
        Entry entry = entries.get(token);
        if (entry == null || entry.attempt().state() == State.FINISHED) {
            return;
        }
        sizeBytes -= entry.attempt().sizeBytes();
        put(new AttemptRecord(token, state, response), entry.startTimer());
        evictExcess();
    }

    private void put(AttemptRecord attempt, ElapsedTimer startTimer) {
        entries.put(attempt.token(), new Entry(attempt, startTimer));
        sizeBytes += attempt.sizeBytes();
    }

    private void remove(AttemptToken token) {
        sizeBytes -= entries.remove(token).attempt().sizeBytes();
    }

    private void evictExpired() {
        evictOldestWhile(entry -> entry.startTimer().elapsed(time).compareTo(limits.tokenLifetime()) > 0);
    }

    private void evictExcess() {
        evictOldestWhile(entry -> entries.size() > limits.maxRecords() || sizeBytes > limits.maxBytes());
    }

    /** Evicts records in the order in which the attempts started while the condition holds; skips running attempts. */
    private void evictOldestWhile(Predicate<Entry> condition) {
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
                evictionWatermarksMillis.computeIfPresent(
                        token.epoch(), (tokenEpoch, watermark) -> Math.max(watermark, token.issuedMillis()));
            }
        }
    }
}
