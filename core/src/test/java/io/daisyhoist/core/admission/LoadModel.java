package io.daisyhoist.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

import io.daisyhoist.core.time.ManualTimeSource;

/** Backend servers with slots, open arrivals and clients that return after a refusal, in simulated time. */
final class LoadModel {
    private static final double LATE_VALUE = 0.3;
    private static final int MAX_RETRIES = 2;
    private static final int SLOTS = 6;
    private static final double RUN_TIME_SIGMA = 0.4;

    private final ManualTimeSource time = new ManualTimeSource();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::nanos).thenComparingLong(Event::sequence));
    private final List<Server> servers = new ArrayList<>();
    private final Map<Kind, Result> results = new LinkedHashMap<>();
    private final Pattern pattern;
    private final Random random;
    private final Random arrivals;
    private long sequence;

    /** Kind of request; times in milliseconds, share of all arrivals. */
    record Kind(
            String name,
            int priority,
            boolean nested,
            double share,
            double runMillis,
            double targetMillis,
            double deadlineMillis) {}

    /** Load relative to the capacity: usual, and from 5 s to the end of the burst. */
    record Pattern(
            String name,
            int servers,
            double usual,
            double burst,
            double burstSeconds,
            double tail,
            double slowFactor) {}

    /** Order that is tried, with the longest wait that the sender of a request states. */
    record Candidate(String name, AdmissionOrder order, boolean senderLimitsWait, int maxPerKind) {}

    /** What the callers of one kind got. */
    static final class Result {
        int sent;
        int inTarget;
        int late;
        int refused;
        int failed;

        int sent() {
            return sent;
        }

        int ended() {
            return inTarget + late + refused + failed;
        }

        void add(Result other) {
            sent += other.sent;
            inTarget += other.inTarget;
            late += other.late;
            refused += other.refused;
            failed += other.failed;
        }

        double value() {
            return inTarget + LATE_VALUE * late;
        }

        double served() {
            return (inTarget + late) / (double) Math.max(1, sent);
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "sent %5d  in target %5d  late %5d  refused %5d  failed %4d  value %7.1f",
                    sent,
                    inTarget,
                    late,
                    refused,
                    failed,
                    value());
        }
    }

    private record Event(long nanos, long sequence, Runnable action) {}

    private record Attempt(Kind kind, long sentNanos, int retries, boolean atSecondServer) {
        long targetNanos() {
            return sentNanos + nanos(kind.targetMillis);
        }

        long deadlineNanos() {
            return sentNanos + nanos(kind.deadlineMillis);
        }
    }

    private final class Server {
        private final CostAdmission admission;
        private final WorkEstimator estimator = new WorkEstimator(time, 0.05, 0.05);
        private final Map<CostRequest, Attempt> attempts = new LinkedHashMap<>();
        private final KindNumbers kindNumbers = new KindNumbers();
        private final Map<Kind, Integer> presentByKind = new HashMap<>();
        private final double speed;
        private final boolean slowable;
        private final Candidate candidate;

        private Server(Candidate candidate, double speed, boolean slowable) {
            this.candidate = candidate;
            this.admission = new CostAdmission(time, candidate.order(), SLOTS, 4 * SLOTS);
            this.speed = speed;
            this.slowable = slowable;
        }

        private int busy() {
            return admission.inFlight() + admission.queued();
        }

        private void offer(Attempt attempt) {
            Kind kind = attempt.kind();
            WorkEstimate work = estimator.estimate(kind.name());
            RequestCost cost = new RequestCost(
                    kindNumbers.number(kind.name(), kind.priority()),
                    kind.priority(),
                    kind.nested(),
                    attempt.targetNanos(),
                    attempt.deadlineNanos(),
                    work);
            if (presentByKind.getOrDefault(kind, 0) >= candidate.maxPerKind()) {
                retry(attempt, Duration.ofNanos(work.meanNanos()));
                return;
            }
            CostDecision decision = admission.offer(cost, maxWait(attempt, work));
            if (decision instanceof CostDecision.Started started) {
                run(started.request(), attempt);
            } else if (decision instanceof CostDecision.Refused refused) {
                retry(attempt, refused.retryAfter());
            } else if (decision instanceof CostDecision.Waiting waiting) {
                attempts.put(waiting.request(), attempt);
                presentByKind.merge(kind, 1, Integer::sum);
                waiting.displaced().ifPresent(this::refuse);
                after((waiting.request().latestStartNanos() - time.monotonicNanos()) / 1e6 + 1, this::refuseAndStart);
                refuseAndStart();
            }
        }

        /** The rule of the sender that was in place before. */
        private Duration maxWait(Attempt attempt, WorkEstimate work) {
            long now = time.monotonicNanos();
            long untilDeadline = attempt.deadlineNanos() - now - work.meanNanos();
            if (!candidate.senderLimitsWait()) {
                return Duration.ofNanos(Math.max(0, untilDeadline));
            }
            long untilTarget = attempt.targetNanos() - now - work.meanNanos();
            long slot = attempt.kind().priority() < 2 ? Math.min(nanos(150), untilDeadline) : 0;
            return Duration.ofNanos(Math.max(0, Math.max(Math.max(untilTarget, untilDeadline / 5), slot)));
        }

        private void refuseAndStart() {
            for (Optional<CostDecision.Refused> next = admission.refuseNext();
                    next.isPresent();
                    next = admission.refuseNext()) {
                refuse(next.get());
            }
            for (Optional<CostRequest> next = admission.startNext(); next.isPresent(); next = admission.startNext()) {
                Attempt attempt = attempts.remove(next.get());
                presentByKind.merge(attempt.kind(), -1, Integer::sum);
                run(next.get(), attempt);
            }
        }

        private void refuse(CostDecision.Refused refused) {
            Attempt attempt = attempts.remove(refused.request());
            presentByKind.merge(attempt.kind(), -1, Integer::sum);
            retry(attempt, refused.retryAfter());
        }

        private void run(CostRequest request, Attempt attempt) {
            presentByKind.merge(attempt.kind(), 1, Integer::sum);
            double seconds = time.monotonicNanos() / 1e9;
            boolean slow = slowable && seconds >= 5 && seconds < 10;
            double spread = Math.exp(RUN_TIME_SIGMA * random.nextGaussian() - RUN_TIME_SIGMA * RUN_TIME_SIGMA / 2);
            double tail = random.nextDouble() < pattern.tail() ? 3 + 2 * random.nextDouble() : 1;
            double millis = attempt.kind().runMillis() * spread * tail / speed * (slow ? pattern.slowFactor() : 1);
            double limit = (attempt.deadlineNanos() - time.monotonicNanos()) / 1e6;
            // The backend server gives a request up at its deadline.
            after(Math.min(millis, limit), () -> {
                admission.complete(request);
                presentByKind.merge(attempt.kind(), -1, Integer::sum);
                if (millis < limit) {
                    estimator.record(attempt.kind().name(), nanos(millis));
                }
                record(attempt);
                refuseAndStart();
            });
        }

        private void record(Attempt attempt) {
            Result result = results.get(attempt.kind());
            if (time.monotonicNanos() <= attempt.targetNanos()) {
                result.inTarget++;
            } else if (time.monotonicNanos() < attempt.deadlineNanos()) {
                result.late++;
            } else {
                result.failed++;
            }
        }
    }

    LoadModel(List<Kind> kinds, Pattern pattern, Candidate candidate, long seed) {
        this.pattern = pattern;
        this.random = new Random(seed);
        this.arrivals = new Random(-seed);
        for (int i = 0; i < pattern.servers(); i++) {
            servers.add(new Server(candidate, pattern.servers() == 1 ? 1 : 0.7 + 0.6 * i / pattern.servers(), i == 0));
        }
        kinds.forEach(kind -> results.put(kind, new Result()));
    }

    /** Runs 15 s of arrivals and returns what each kind got. */
    Map<Kind, Result> run() {
        double work = results.keySet().stream()
                .mapToDouble(kind -> kind.share() * kind.runMillis())
                .sum();
        double capacity = servers.stream().mapToDouble(server -> server.speed).sum() * SLOTS / work;
        results.keySet().forEach(kind -> arrive(kind, capacity));
        while (!events.isEmpty()) {
            Event event = events.poll();
            time.advance(Duration.ofNanos(event.nanos() - time.monotonicNanos()));
            event.action().run();
        }
        return results;
    }

    private void arrive(Kind kind, double capacity) {
        double seconds = time.monotonicNanos() / 1e9;
        if (seconds > 15) {
            return;
        }
        boolean burst = seconds >= 5 && seconds < 5 + pattern.burstSeconds();
        double rate = capacity * kind.share() * (burst ? pattern.burst() : pattern.usual());
        after(-Math.log(1 - arrivals.nextDouble()) / rate, () -> {
            results.get(kind).sent++;
            send(new Attempt(kind, time.monotonicNanos(), 0, false));
            arrive(kind, capacity);
        });
    }

    /** Sends to the less busy of two servers. */
    private void send(Attempt attempt) {
        Server one = servers.get(random.nextInt(servers.size()));
        Server other = servers.get(random.nextInt(servers.size()));
        (one.busy() <= other.busy() ? one : other).offer(attempt);
    }

    private void retry(Attempt attempt, Duration retryAfter) {
        if (servers.size() > 1 && !attempt.atSecondServer()) {
            send(new Attempt(attempt.kind(), attempt.sentNanos(), attempt.retries(), true));
            return;
        }
        double left = (attempt.deadlineNanos() - time.monotonicNanos()) / 1e6;
        double wait = Math.min(left / 3, Math.max(30, retryAfter.toNanos() / 1e6));
        if (attempt.retries() >= MAX_RETRIES || left < 30) {
            results.get(attempt.kind()).refused++;
            return;
        }
        after(wait, () -> send(new Attempt(attempt.kind(), attempt.sentNanos(), attempt.retries() + 1, false)));
    }

    private void after(double millis, Runnable action) {
        events.add(new Event(time.monotonicNanos() + nanos(millis), sequence++, action));
    }

    private static long nanos(double millis) {
        return (long) (millis * 1e6);
    }
}
