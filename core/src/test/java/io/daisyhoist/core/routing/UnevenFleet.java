package io.daisyhoist.core.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.routing.LoadBalancer.Candidate;
import io.daisyhoist.core.time.ManualTimeSource;

/**
 * Simulation of one service: many daemons send to backend servers of unequal speed that share their instances with others.
 * Each daemon knows only its own requests and the reports that come with their responses.
 */
final class UnevenFleet {
    /** Mean work of a request, in seconds of a slot of a backend server of speed 1. */
    static final double MEAN_WORK_S = 0.1;

    private static final double ONE_WAY_S = 0.001;
    private static final double INTERFERENCE_INTERVAL_S = 0.4;
    private static final double INTERFERENCE_PROBABILITY = 0.2;
    private static final double MAX_INTERFERENCE = 3;
    private static final int MAX_ATTEMPTS = 4;
    private static final String ROUTE = "route";
    private static final ServiceName SERVICE = new ServiceName("service");

    final List<Server> servers = new ArrayList<>();
    int arrivals;
    int served;
    int failed;
    int refused;
    int rejected;
    int refusedEarly;
    int repeatedArrivals;
    int crossZone;
    boolean interference = true;
    private final SplittableRandom random;
    private final ManualTimeSource time = new ManualTimeSource();
    private final List<LoadBalancer> senders = new ArrayList<>();
    private final List<AvailabilityZone> senderZones = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private double nowS;
    private long order;

    private record Event(double atS, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atS, other.atS);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** Request on its way to one server. */
    private record Attempt(int sender, Set<DaemonId> tried, double sentS, double work) {}

    /** Simulated backend server with the queue of its daemon. */
    final class Server {
        final Candidate candidate;
        double speed;
        double rejectedShare;
        int rejectsFrom = Integer.MAX_VALUE;
        boolean failsQuickly;
        boolean full;
        int arrivals;
        double busySeconds;
        private final CompletionRate rate = new CompletionRate(time);
        private final Deque<Attempt> queue = new ArrayDeque<>();
        private double interferenceFactor = 1;
        private int running;

        private Server(Candidate candidate, double speed) {
            this.candidate = candidate;
            this.speed = speed;
        }

        private LoadBalancer.Report report() {
            int busy = full ? 2 * candidate.slots() : running + queue.size();
            return new LoadBalancer.Report(
                    busy, candidate.slots(), interferenceFactor, rate.perSlotSecond(), rate.rejectedShare());
        }

        private void arrive(Attempt attempt) {
            if (full || queue.size() >= candidate.slots()) {
                reply(attempt, Result.FULL);
                return;
            }
            arrivals++;
            if (failsQuickly) {
                reply(attempt, Result.FAILED);
            } else if (running >= rejectsFrom || random.nextDouble() < rejectedShare) {
                rate.onRejected();
                reply(attempt, Result.REJECTED);
            } else if (running < candidate.slots()) {
                run(attempt);
            } else {
                queue.add(attempt);
            }
        }

        private void run(Attempt attempt) {
            running++;
            double nearlyFull = Math.max(0, (double) running / candidate.slots() - 0.8) / 0.2;
            double seconds = attempt.work() / speed * interferenceFactor * (1 + 0.5 * nearlyFull);
            after(seconds, () -> {
                busySeconds += seconds;
                rate.onCompleted(Duration.ofNanos((long) (seconds * 1e9)));
                reply(attempt, Result.SERVED);
                running--;
                if (!queue.isEmpty()) {
                    run(queue.poll());
                }
            });
        }

        private void reply(Attempt attempt, Result result) {
            LoadBalancer.Report report = report();
            after(ONE_WAY_S, () -> onReply(this, attempt, report, result));
        }
    }

    enum Result {
        SERVED,
        FAILED,
        REJECTED,
        FULL
    }

    UnevenFleet(long seed, int senderCount, int zones) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < senderCount; i++) {
            AvailabilityZone zone = new AvailabilityZone("z" + i % zones);
            senderZones.add(zone);
            senders.add(new LoadBalancer(time, random.split(), zone));
        }
        after(0, this::interfere);
    }

    Server addServer(String zone, int slots, double speed) {
        DaemonId daemon = new DaemonId("d" + servers.size());
        Server server = new Server(new Candidate(daemon, new AvailabilityZone(zone), slots), speed);
        servers.add(server);
        return server;
    }

    /** Returns the requests per second that keep the given share of all slots busy, without interference. */
    double requestsPerSecond(double utilization) {
        return utilization
                / MEAN_WORK_S
                * servers.stream()
                        .mapToDouble(server -> server.candidate.slots() * server.speed)
                        .sum();
    }

    /** Returns the highest utilization of a server divided by the mean. */
    double busiestToMean() {
        double[] utilizations = servers.stream()
                .mapToDouble(server -> server.busySeconds / server.candidate.slots())
                .toArray();
        double mean = 0;
        double max = 0;
        for (double utilization : utilizations) {
            mean += utilization / utilizations.length;
            max = Math.max(max, utilization);
        }
        return max / mean;
    }

    void resetCounts() {
        arrivals = 0;
        served = 0;
        failed = 0;
        refused = 0;
        rejected = 0;
        refusedEarly = 0;
        repeatedArrivals = 0;
        crossZone = 0;
        servers.forEach(server -> {
            server.arrivals = 0;
            server.busySeconds = 0;
        });
    }

    /** Runs the simulation with Poisson arrivals at random senders. */
    void run(Duration duration, double requestsPerSecond) {
        double endS = nowS + duration.toNanos() / 1e9;
        scheduleArrival(requestsPerSecond, endS);
        while (!events.isEmpty() && events.peek().atS() <= endS) {
            Event event = events.poll();
            time.advance(Duration.ofNanos((long) (event.atS() * 1e9) - time.monotonicNanos()));
            nowS = event.atS();
            event.action().run();
        }
        nowS = endS;
    }

    /** Sends requests of all senders at the same instant. */
    void burst(int requestsPerSender) {
        for (int sender = 0; sender < senders.size(); sender++) {
            for (int i = 0; i < requestsPerSender; i++) {
                dispatch(sender, new HashSet<>(), work());
            }
        }
    }

    /** Gives all senders the same reports at the same instant. */
    void shareReports() {
        servers.forEach(
                server -> senders.forEach(sender -> sender.onReport(server.candidate.daemon(), server.report())));
    }

    private double work() {
        return -Math.log(1 - random.nextDouble()) * MEAN_WORK_S;
    }

    private void scheduleArrival(double requestsPerSecond, double endS) {
        double waitS = -Math.log(1 - random.nextDouble()) / requestsPerSecond;
        if (nowS + waitS > endS) {
            return;
        }
        after(waitS, () -> {
            arrivals++;
            receive(random.nextInt(senders.size()));
            scheduleArrival(requestsPerSecond, endS);
        });
    }

    private void after(double seconds, Runnable action) {
        events.add(new Event(nowS + seconds, order++, action));
    }

    private void interfere() {
        servers.forEach(
                server -> server.interferenceFactor = interference && random.nextDouble() < INTERFERENCE_PROBABILITY
                        ? 1 + (MAX_INTERFERENCE - 1) * random.nextDouble()
                        : 1);
        after(INTERFERENCE_INTERVAL_S, this::interfere);
    }

    private List<Candidate> candidates() {
        return servers.stream().map(server -> server.candidate).toList();
    }

    private void receive(int sender) {
        if (senders.get(sender).refuseEarly(SERVICE, candidates()).isPresent()) {
            refusedEarly++;
        } else {
            dispatch(sender, new HashSet<>(), work());
        }
    }

    private void dispatch(int sender, Set<DaemonId> tried, double work) {
        Optional<Candidate> selected = tried.size() >= MAX_ATTEMPTS
                ? Optional.empty()
                : senders.get(sender).select(candidates(), tried);
        if (selected.isEmpty()) {
            refused++;
        } else {
            send(sender, selected.get(), tried, work);
        }
    }

    private void send(int sender, Candidate candidate, Set<DaemonId> tried, double work) {
        tried.add(candidate.daemon());
        if (!candidate.zone().equals(senderZones.get(sender))) {
            crossZone++;
        }
        senders.get(sender).onSend(candidate.daemon());
        Server server =
                servers.get(Integer.parseInt(candidate.daemon().toString().substring(1)));
        Attempt attempt = new Attempt(sender, tried, nowS, work);
        after(ONE_WAY_S, () -> server.arrive(attempt));
    }

    private void onReply(Server server, Attempt attempt, LoadBalancer.Report report, Result result) {
        LoadBalancer sender = senders.get(attempt.sender());
        DaemonId daemon = server.candidate.daemon();
        sender.onReport(daemon, report);
        sender.onCompletion(daemon);
        switch (result) {
            case SERVED -> {
                served++;
                sender.onResponse(daemon, ROUTE, Duration.ofNanos((long) ((nowS - attempt.sentS()) * 1e9)));
            }
            case FAILED -> {
                failed++;
                sender.onFailure(daemon);
            }
            case REJECTED -> {
                sender.onRejection(daemon);
                rejected++;
                if (attempt.tried().size() == 1) {
                    sender.selectAfterRejection(candidates(), attempt.tried()).ifPresent(next -> {
                        repeatedArrivals++;
                        send(attempt.sender(), next, attempt.tried(), attempt.work());
                    });
                }
            }
            default -> dispatch(attempt.sender(), attempt.tried(), attempt.work());
        }
    }
}
