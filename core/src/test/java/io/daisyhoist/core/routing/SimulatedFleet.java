package io.daisyhoist.core.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import io.daisyhoist.core.admission.SlotLimit;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.retry.HedgePolicy;

/**
 * Simulated backend servers with one edge daemon each, under open-loop arrivals of idempotent requests without a key.
 * Load reports are sent every 700 ms and reach the edges after 100 ms. A refused request is sent to at most two more
 * servers and then counts with its deadline of 1 s as its latency.
 */
final class SimulatedFleet {
    private static final AvailabilityZone ZONE = new AvailabilityZone("a");
    private static final Duration DEADLINE = Duration.ofSeconds(1);
    private static final Duration RUN_DURATION = Duration.ofSeconds(6);
    private static final double WARM_UP_MILLIS = 2_000;
    private static final double SERVICE_MILLIS = 6;
    private static final double REPORT_MILLIS = 700;
    private static final double REPORT_LAG_MILLIS = 100;

    private final SimulatedTime time = new SimulatedTime();
    private final Random random;
    private final List<SimulatedBackend> backends = new ArrayList<>();
    private final List<DaemonId> ids = new ArrayList<>();
    private final List<Edge> edges = new ArrayList<>();
    private final List<Double> latenciesMillis = new ArrayList<>();
    private final double meanInterarrivalMillis;
    private final boolean hedging;
    private int requests;
    private int hedges;
    private double imbalanceSum;
    private int imbalanceSamples;

    /** Results of a run; the imbalance is the average ratio of the highest load to the mean load. */
    record Result(double p50Millis, double p99Millis, double imbalance, double hedgeShare) {}

    private final class Edge {
        private final BackendSelector selector;
        private final HedgePolicy hedgePolicy = HedgePolicy.standard(time);
        private final int[] inFlight;
        private final int[] reported;
        private final double[] reportedAtMillis;

        Edge(BackendSelector selector, int servers) {
            this.selector = selector;
            inFlight = new int[servers];
            reported = new int[servers];
            reportedAtMillis = new double[servers];
        }

        int selectServer(List<Integer> tried) {
            List<BackendCandidate> candidates = new ArrayList<>();
            for (int i = 0; i < inFlight.length; i++) {
                if (!tried.contains(i)) {
                    Duration age = Duration.ofNanos((long) ((time.nowMillis() - reportedAtMillis[i]) * 1e6));
                    candidates.add(new BackendCandidate(
                            ids.get(i), ZONE, inFlight[i], reported[i], backends.get(i).slots, age));
                }
            }
            return ids.indexOf(selector.select(candidates).orElseThrow().daemon());
        }
    }

    private final class Request {
        private final Edge edge;
        private final double arrivedMillis = time.nowMillis();
        private final List<Integer> tried = new ArrayList<>();
        private final List<SimulatedBackend.Call> calls = new ArrayList<>();
        private int pendingCalls;
        private boolean done;

        Request(Edge edge) {
            this.edge = edge;
        }

        void send() {
            int server = edge.selectServer(tried);
            tried.add(server);
            edge.inFlight[server]++;
            pendingCalls++;
            boolean[] released = new boolean[1];
            Runnable release = () -> {
                edge.inFlight[server] -= released[0] ? 0 : 1;
                released[0] = true;
            };
            releases.add(release);
            calls.add(backends.get(server)
                    .send(
                            DEADLINE,
                            () -> {
                                release.run();
                                finish(time.nowMillis() - arrivedMillis);
                            },
                            () -> {
                                release.run();
                                onCallFailed();
                            }));
        }

        private final List<Runnable> releases = new ArrayList<>();

        private void onCallFailed() {
            pendingCalls--;
            if (!done && pendingCalls == 0) {
                if (tried.size() < Math.min(3, backends.size())) {
                    send();
                } else {
                    finish(DEADLINE.toMillis());
                }
            }
        }

        private void finish(double latencyMillis) {
            if (done) {
                return;
            }
            done = true;
            calls.forEach(SimulatedBackend.Call::cancel);
            releases.forEach(Runnable::run);
            edge.hedgePolicy.onResponse(Duration.ofNanos((long) (latencyMillis * 1e6)));
            if (arrivedMillis > WARM_UP_MILLIS) {
                latenciesMillis.add(latencyMillis);
            }
        }

        void scheduleHedge() {
            edge.hedgePolicy.onRequest();
            edge.hedgePolicy
                    .hedgeDelay(true, false, false)
                    .ifPresent(delay -> time.after(delay.toNanos() / 1e6, () -> {
                        if (!done && tried.size() < backends.size() && edge.hedgePolicy.tryHedge()) {
                            hedges++;
                            send();
                        }
                    }));
        }
    }

    SimulatedFleet(
            long seed,
            int servers,
            int slots,
            double load,
            boolean hedging,
            Function<RandomGenerator, BackendSelector> selector) {
        random = new Random(seed);
        meanInterarrivalMillis = SERVICE_MILLIS / (load * servers * slots);
        this.hedging = hedging;
        for (int i = 0; i < servers; i++) {
            backends.add(new SimulatedBackend(time, random, new SlotLimit(slots), slots, SERVICE_MILLIS));
            ids.add(new DaemonId("d" + i));
            edges.add(new Edge(selector.apply(random), servers));
        }
    }

    /** Makes a random server five times slower for 300 ms of each second. */
    SimulatedFleet withTemporarySlowdowns() {
        time.every(1_000, () -> {
            SimulatedBackend slow = backends.get(random.nextInt(backends.size()));
            slow.slowFactor = 5;
            time.after(300, () -> slow.slowFactor = 1);
        });
        return this;
    }

    /** Makes one server five times slower for the whole run. */
    SimulatedFleet withSlowServer() {
        backends.get(0).slowFactor = 5;
        return this;
    }

    Result run() {
        time.after(meanInterarrivalMillis, this::arrive);
        time.every(REPORT_MILLIS, this::report);
        time.every(50, this::sampleImbalance);
        time.runUntil(RUN_DURATION);
        Collections.sort(latenciesMillis);
        return new Result(
                percentile(0.5), percentile(0.99), imbalanceSum / imbalanceSamples, (double) hedges / requests);
    }

    private void arrive() {
        requests++;
        Request request = new Request(edges.get(random.nextInt(edges.size())));
        request.send();
        if (hedging) {
            request.scheduleHedge();
        }
        time.after(-meanInterarrivalMillis * Math.log(1 - random.nextDouble()), this::arrive);
    }

    private void report() {
        for (int i = 0; i < backends.size(); i++) {
            int server = i;
            int load = backends.get(i).load();
            double createdAtMillis = time.nowMillis();
            time.after(
                    REPORT_LAG_MILLIS,
                    () -> edges.forEach(edge -> {
                        edge.reported[server] = load;
                        edge.reportedAtMillis[server] = createdAtMillis;
                    }));
        }
    }

    private void sampleImbalance() {
        int sum = backends.stream().mapToInt(SimulatedBackend::load).sum();
        int largest = backends.stream().mapToInt(SimulatedBackend::load).max().orElse(0);
        if (sum > 0 && time.nowMillis() > WARM_UP_MILLIS) {
            imbalanceSum += (double) largest * backends.size() / sum;
            imbalanceSamples++;
        }
    }

    private double percentile(double fraction) {
        return latenciesMillis.get((int) (fraction * (latenciesMillis.size() - 1)));
    }
}
