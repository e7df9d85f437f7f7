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
 * Admits requests to one backend server, queues a bounded number and sheds the lowest rank first.
 *
 * <p>Invariants: a request is admitted only while fewer than {@link #limit()} are in flight; at most {@code queueBound}
 * wait; no ticket is shed for lack of room while one of lower rank waits; a request that must run alone is admitted only
 * when nothing is in flight, and nothing is admitted until it has ended. A lowered limit does not interrupt requests in
 * flight. Confined to one thread.
 */
public final class AdmissionGate {
    /** A load report older than this no longer lowers the limit. */
    public static final Duration LOAD_REPORT_VALIDITY = Duration.ofSeconds(3);

    private static final double LATENCY_GAIN = 0.1;

    private final TimeSource time;
    private final ConcurrencyLimit concurrencyLimit;
    private final TicketQueue queue;
    private final Set<Permit> inFlight = new HashSet<>();

    private long nextNumber = 1;
    private double meanLatencyNanos;
    private int peakInFlight;
    private int previousPeakInFlight;
    private int reportedCapacity = Integer.MAX_VALUE;
    private long reportExpiryNanos;
    private OptionalLong backendIncarnation = OptionalLong.empty();
    private Optional<Refusal> closed = Optional.empty();
    private Rank reservedFor = Rank.INTERNAL;
    private int reservedSlots;

    /**
     * Creates an open gate.
     *
     * @param queueBound most requests that wait at once; the design uses twice the slots
     */
    public AdmissionGate(TimeSource time, ConcurrencyLimit concurrencyLimit, int queueBound) {
        this.time = time;
        this.concurrencyLimit = concurrencyLimit;
        this.queue = new TicketQueue(queueBound);
    }

    /**
     * Takes over changed settings of the service.
     *
     * @param coldLimit requests at once during a cold start, at least 1
     * @param slots requests at once when warm, at least the cold limit
     * @param queueBound most requests that wait at once
     */
    public GateUpdate onSettings(int coldLimit, int slots, int queueBound) {
        concurrencyLimit.onSettings(coldLimit, slots);
        queue.setBound(queueBound);
        return advance();
    }

    /**
     * Keeps some of the limit free for requests of a rank and those above it, when these are so short that they would spend
     * most of their time behind requests of lower ranks.
     *
     * @param slots part of the limit that lower ranks leave free; zero ends the reservation
     */
    public void reserve(Rank rank, int slots) {
        reservedFor = rank;
        reservedSlots = slots;
    }

    /** Returns the number of requests that may be in flight now. */
    public int limit() {
        boolean reportValid = time.monotonicNanos() - reportExpiryNanos < 0;
        int limit = concurrencyLimit.limit();
        return reportValid ? Math.min(limit, reportedCapacity) : limit;
    }

    /** Returns whether the backend server is held to be in a cold start. */
    public boolean isCold() {
        return concurrencyLimit.isCold();
    }

    /** Returns the number of requests in flight. */
    public int inFlight() {
        return inFlight.size();
    }

    /** Returns the number of requests that wait. */
    public int queued() {
        return queue.size();
    }

    /** Offers a request that may run beside others. */
    public Offer offer(Rank rank, Duration remaining) {
        return offer(rank, remaining, false);
    }

    /**
     * Offers a request.
     *
     * @param remaining time until the deadline of the request
     * @param alone whether it may run only while nothing else is in flight
     */
    public Offer offer(Rank rank, Duration remaining, boolean alone) {
        if (closed.isPresent()) {
            return new Offer.Refused(closed.get());
        }
        concurrencyLimit.onInFlight(inFlight);
        if (remaining.isZero() || remaining.isNegative()) {
            return new Offer.Refused(expired());
        }
        long now = time.monotonicNanos();
        Ticket ticket = new Ticket(nextNumber++, rank, now + remaining.toNanos(), alone);
        if (!queue.hasTicketNotBelow(rank) && fits(ticket)) {
            return new Offer.Admitted(admit(ticket));
        }
        Duration wait = expectedWait(rank);
        if (wait.compareTo(remaining) > 0) {
            return new Offer.Refused(overloaded("expected wait exceeds the deadline", wait));
        }
        return enqueue(ticket, wait);
    }

    private Offer enqueue(Ticket ticket, Duration wait) {
        List<GateUpdate.Shed> shed = new ArrayList<>(shedExpired());
        if (queue.isFull()) {
            Optional<Ticket> victim = queue.removeLastBelow(ticket.rank());
            if (victim.isEmpty()) {
                return new Offer.Refused(overloaded("queue is full", wait));
            }
            shed.add(new GateUpdate.Shed(victim.get(), overloaded("displaced by a request of higher rank", wait)));
        }
        queue.add(ticket);
        return new Offer.Queued(ticket, List.copyOf(shed));
    }

    /**
     * Ends a request that had been admitted; a permit that was returned before changes nothing.
     *
     * @param latency time from sending the request to the outcome
     */
    public GateUpdate complete(Permit permit, Outcome outcome, Duration latency) {
        if (!inFlight.remove(permit)) {
            return GateUpdate.NONE;
        }
        if (outcome == Outcome.OK) {
            double nanos = latency.toNanos();
            meanLatencyNanos += (meanLatencyNanos == 0 ? 1 : LATENCY_GAIN) * (nanos - meanLatencyNanos);
        }
        concurrencyLimit.onCompletion(permit.startNanos(), latency, outcome);
        return advance();
    }

    /** Withdraws a queued request, for example because its client has gone. */
    public GateUpdate cancel(Ticket ticket) {
        queue.remove(ticket);
        return advance();
    }

    /** Sheds queued requests whose deadline has passed and admits what fits; to be called by a timer. */
    public GateUpdate advance() {
        concurrencyLimit.onInFlight(inFlight);
        List<GateUpdate.Shed> shed = shedExpired();
        List<GateUpdate.Admission> admitted = new ArrayList<>();
        for (Optional<Ticket> head = queue.peek(); head.filter(this::fits).isPresent(); head = queue.peek()) {
            Ticket ticket = queue.poll();
            admitted.add(new GateUpdate.Admission(ticket, admit(ticket)));
        }
        return new GateUpdate(List.copyOf(admitted), shed);
    }

    /**
     * Takes a load report as a hint: it lowers the limit while it is recent and never raises it.
     *
     * <p>Reported requests in excess of the most that this gate had in flight since the report before last are work that
     * the gate does not see, for example requests given up at their deadline that still run.
     */
    public GateUpdate onLoadReport(LoadReport report) {
        int unseen = Math.max(0, report.inFlight() - Math.max(peakInFlight, previousPeakInFlight));
        previousPeakInFlight = peakInFlight;
        peakInFlight = inFlight.size();
        reportedCapacity = Math.max(1, report.capacity() - unseen);
        reportExpiryNanos =
                time.monotonicNanos() + LOAD_REPORT_VALIDITY.minus(report.age()).toNanos();
        return advance();
    }

    /** Learns the backend server's incarnation; another one than before means a cold start. */
    public GateUpdate onBackendIncarnation(long incarnation) {
        if (backendIncarnation.isEmpty() || backendIncarnation.getAsLong() != incarnation) {
            backendIncarnation = OptionalLong.of(incarnation);
            concurrencyLimit.onRestart();
        }
        return advance();
    }

    /** Refuses all new and queued requests until {@link #open}; requests in flight continue. */
    public GateUpdate close(Refusal refusal) {
        closed = Optional.of(refusal);
        return new GateUpdate(
                List.of(),
                queue.removeAll().stream()
                        .map(ticket -> new GateUpdate.Shed(ticket, refusal))
                        .toList());
    }

    /** Accepts requests again. */
    public void open() {
        closed = Optional.empty();
    }

    private boolean fits(Ticket ticket) {
        if (inFlight.isEmpty()) {
            return true;
        }
        // A request that runs alone is the only one in flight.
        boolean busyAlone = inFlight.size() == 1 && inFlight.iterator().next().alone();
        return !ticket.alone() && !busyAlone && inFlight.size() < limitFor(ticket.rank());
    }

    private int limitFor(Rank rank) {
        return reservedFor.isAbove(rank) ? Math.max(1, limit() - reservedSlots) : limit();
    }

    private Permit admit(Ticket ticket) {
        Permit permit = new Permit(ticket.number(), time.monotonicNanos(), ticket.alone());
        inFlight.add(permit);
        peakInFlight = Math.max(peakInFlight, inFlight.size());
        return permit;
    }

    private List<GateUpdate.Shed> shedExpired() {
        return queue.removeExpired(time.monotonicNanos()).stream()
                .map(ticket -> new GateUpdate.Shed(ticket, expired()))
                .toList();
    }

    private Duration expectedWait(Rank rank) {
        double rounds = (queue.countNotBelow(rank) + 1.0) / limit();
        return Duration.ofNanos((long) (rounds * meanLatencyNanos));
    }

    private Refusal overloaded(String message, Duration wait) {
        RefusalCode code = isCold() ? RefusalCode.COLD_START : RefusalCode.OVERLOADED;
        return Refusal.of(code, message, wait);
    }

    private static Refusal expired() {
        return Refusal.of(RefusalCode.DEADLINE_EXCEEDED, "deadline passed before the request was sent", Duration.ZERO);
    }
}
