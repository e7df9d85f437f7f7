package io.daisyhoist.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.time.TimeSource;

/**
 * Admission controller for one backend server, with a bounded queue that sheds the lowest rank first.
 *
 * <p>Invariants: a request is admitted only while fewer than {@link #limit()} are in flight; at most {@code queueBound}
 * requests are queued; no request is shed from a full queue while one of lower rank is queued; an exclusive request is
 * admitted only when none is in flight, and no other is admitted until it has ended. Decreasing the limit does not
 * interrupt requests in flight. Confined to one thread.
 */
public final class AdmissionController {
    /** Load reports older than this are ignored. */
    public static final Duration LOAD_REPORT_VALIDITY = Duration.ofSeconds(3);

    private static final double LATENCY_EWMA_GAIN = 0.1;

    private final TimeSource time;
    private final ConcurrencyLimit concurrencyLimit;
    private final AdmissionQueue queue;
    private final Set<Permit> inFlight = new HashSet<>();

    private long nextRequestNumber = 1;
    private double meanLatencyNanos;
    private int peakInFlight;
    private int previousPeakInFlight;
    private int reportedCapacity = Integer.MAX_VALUE;
    private long reportExpiryNanos;
    private OptionalLong backendIncarnation = OptionalLong.empty();
    private Optional<Refusal> closedBy = Optional.empty();
    private Rank reservedForRank = Rank.INTERNAL;
    private int reservedSlots;

    /**
     * Creates a controller that accepts requests.
     *
     * @param queueBound maximum number of queued requests, usually twice the slots
     */
    public AdmissionController(TimeSource time, ConcurrencyLimit concurrencyLimit, int queueBound) {
        this.time = time;
        this.concurrencyLimit = concurrencyLimit;
        this.queue = new AdmissionQueue(queueBound);
    }

    /**
     * Applies changed settings of the service.
     *
     * @param coldLimit concurrency limit during a cold start, at least 1
     * @param slots concurrency limit when warm, at least the cold limit
     * @param queueBound maximum number of queued requests
     */
    public AdmissionUpdate onSettings(int coldLimit, int slots, int queueBound) {
        concurrencyLimit.onSettings(coldLimit, slots);
        queue.setBound(queueBound);
        return processQueue();
    }

    /**
     * Reserves part of the limit for requests of a rank and higher ranks. Used when these are so short that they would
     * spend most of their time waiting for requests of lower ranks.
     *
     * @param slots part of the limit that lower ranks cannot use; zero ends the reservation
     */
    public void reserve(Rank rank, int slots) {
        reservedForRank = rank;
        reservedSlots = slots;
    }

    /** Returns the current concurrency limit. */
    public int limit() {
        boolean reportValid = time.monotonicNanos() - reportExpiryNanos < 0;
        int limit = concurrencyLimit.limit();
        return reportValid ? Math.min(limit, reportedCapacity) : limit;
    }

    /** Returns whether the backend server is assumed to be in a cold start. */
    public boolean isCold() {
        return concurrencyLimit.isCold();
    }

    /** Returns the number of requests in flight. */
    public int inFlight() {
        return inFlight.size();
    }

    /** Returns the number of queued requests. */
    public int queued() {
        return queue.size();
    }

    /** Offers a request that may run concurrently with others. */
    public AdmissionDecision offer(Rank rank, Duration remaining) {
        return offer(rank, remaining, false);
    }

    /**
     * Offers a request.
     *
     * @param remaining time until the deadline of the request
     * @param exclusive whether it may run only while no other request is in flight
     */
    public AdmissionDecision offer(Rank rank, Duration remaining, boolean exclusive) {
        if (remaining.isZero() || remaining.isNegative()) {
            return new AdmissionDecision.Refused(closedBy.orElseGet(AdmissionController::deadlineExceeded));
        }
        return admitOrQueue(rank, remaining, exclusive);
    }

    private AdmissionDecision admitOrQueue(Rank rank, Duration maxWait, boolean exclusive) {
        if (closedBy.isPresent()) {
            return new AdmissionDecision.Refused(closedBy.get());
        }
        concurrencyLimit.onInFlight(inFlight);
        long expiryNanos = time.monotonicNanos() + maxWait.toNanos();
        QueueEntry entry = new QueueEntry(nextRequestNumber++, rank, expiryNanos, exclusive);
        if (!queue.hasEntryAtOrAbove(rank) && isAdmissible(entry)) {
            return new AdmissionDecision.Admitted(admit(entry));
        }
        Duration wait = expectedWait(rank);
        if (wait.compareTo(maxWait) > 0) {
            return new AdmissionDecision.Refused(overloaded("expected wait exceeds the time left", wait));
        }
        return enqueue(entry, wait);
    }

    private AdmissionDecision enqueue(QueueEntry entry, Duration wait) {
        List<AdmissionUpdate.Shed> shed = new ArrayList<>(shedExpired());
        if (queue.isFull()) {
            Optional<QueueEntry> displaced = queue.removeLatestBelow(entry.rank());
            if (displaced.isEmpty()) {
                return new AdmissionDecision.Refused(overloaded("queue is full", wait));
            }
            shed.add(new AdmissionUpdate.Shed(
                    displaced.get(), overloaded("displaced by a request of higher rank", wait)));
        }
        queue.add(entry);
        return new AdmissionDecision.Queued(entry, List.copyOf(shed));
    }

    /**
     * Completes an admitted request; a permit that has already been returned is ignored.
     *
     * @param latency time from sending the request to the outcome
     */
    public AdmissionUpdate complete(Permit permit, Outcome outcome, Duration latency) {
        if (!inFlight.remove(permit)) {
            return AdmissionUpdate.NONE;
        }
        if (outcome == Outcome.OK) {
            double nanos = latency.toNanos();
            meanLatencyNanos += (meanLatencyNanos == 0 ? 1 : LATENCY_EWMA_GAIN) * (nanos - meanLatencyNanos);
        }
        concurrencyLimit.onCompletion(permit.startNanos(), latency, outcome);
        return processQueue();
    }

    /** Removes a queued request, for example because its client has disconnected. */
    public AdmissionUpdate cancel(QueueEntry entry) {
        queue.remove(entry);
        return processQueue();
    }

    /**
     * Sheds queued requests whose deadline has passed and admits as many as the limit allows; to be called by a timer.
     */
    public AdmissionUpdate processQueue() {
        concurrencyLimit.onInFlight(inFlight);
        List<AdmissionUpdate.Shed> shed = shedExpired();
        List<AdmissionUpdate.Admission> admitted = new ArrayList<>();
        for (Optional<QueueEntry> first = queue.peek();
                first.filter(this::isAdmissible).isPresent();
                first = queue.peek()) {
            QueueEntry entry = queue.poll();
            admitted.add(new AdmissionUpdate.Admission(entry, admit(entry)));
        }
        return new AdmissionUpdate(List.copyOf(admitted), shed);
    }

    /**
     * Handles a load report. The report is a hint: while it is recent it can decrease the limit, but never increase it.
     *
     * <p>Reported requests in excess of the maximum that this controller had in flight since the report before last are
     * work that it does not track, for example requests abandoned at their deadline that still run.
     */
    public AdmissionUpdate onLoadReport(LoadReport report) {
        int untracked = Math.max(0, report.inFlight() - Math.max(peakInFlight, previousPeakInFlight));
        previousPeakInFlight = peakInFlight;
        peakInFlight = inFlight.size();
        reportedCapacity = Math.max(1, report.capacity() - untracked);
        reportExpiryNanos =
                time.monotonicNanos() + LOAD_REPORT_VALIDITY.minus(report.age()).toNanos();
        return processQueue();
    }

    /** Handles the incarnation of the backend server; a change means a cold start. */
    public AdmissionUpdate onBackendIncarnation(long incarnation) {
        if (backendIncarnation.isEmpty() || backendIncarnation.getAsLong() != incarnation) {
            backendIncarnation = OptionalLong.of(incarnation);
            concurrencyLimit.onRestart();
        }
        return processQueue();
    }

    /** Refuses all queued and new requests until {@link #open}; requests in flight continue. */
    public AdmissionUpdate close(Refusal refusal) {
        closedBy = Optional.of(refusal);
        return new AdmissionUpdate(
                List.of(),
                queue.removeAll().stream()
                        .map(entry -> new AdmissionUpdate.Shed(entry, refusal))
                        .toList());
    }

    /** Accepts requests again. */
    public void open() {
        closedBy = Optional.empty();
    }

    private boolean isAdmissible(QueueEntry entry) {
        if (inFlight.isEmpty()) {
            return true;
        }
        // An exclusive request is always the only one in flight.
        boolean exclusiveInFlight =
                inFlight.size() == 1 && inFlight.iterator().next().exclusive();
        return !entry.exclusive() && !exclusiveInFlight && inFlight.size() < limitFor(entry.rank());
    }

    private int limitFor(Rank rank) {
        return reservedForRank.isAbove(rank) ? Math.max(1, limit() - reservedSlots) : limit();
    }

    private Permit admit(QueueEntry entry) {
        Permit permit = new Permit(entry.number(), time.monotonicNanos(), entry.exclusive());
        inFlight.add(permit);
        peakInFlight = Math.max(peakInFlight, inFlight.size());
        return permit;
    }

    private List<AdmissionUpdate.Shed> shedExpired() {
        return queue.removeExpired(time.monotonicNanos()).stream()
                .map(entry -> new AdmissionUpdate.Shed(entry, deadlineExceeded()))
                .toList();
    }

    private Duration expectedWait(Rank rank) {
        double serviceTimes = (queue.countAtOrAbove(rank) + 1.0) / limit();
        return Duration.ofNanos((long) (serviceTimes * meanLatencyNanos));
    }

    private Refusal overloaded(String message, Duration wait) {
        RefusalCode code = isCold() ? RefusalCode.COLD_START : RefusalCode.OVERLOADED;
        return Refusal.of(code, message, wait);
    }

    private static Refusal deadlineExceeded() {
        return Refusal.of(RefusalCode.DEADLINE_EXCEEDED, "deadline passed before the request was sent", Duration.ZERO);
    }
}
