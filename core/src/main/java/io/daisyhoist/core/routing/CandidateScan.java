package io.daisyhoist.core.routing;

import java.util.Arrays;
import java.util.Collection;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.routing.LoadBalancer.Candidate;

/**
 * Estimates for the candidates of one request. Its arrays are reused, so that a selection does not allocate. Confined to one
 * thread.
 */
final class CandidateScan {
    /** Result of a choice among no candidates. */
    static final int NONE = -1;

    /** Share of the members of a service that may be ejected at once. */
    private static final double MAX_EJECTED_SHARE = 1.0 / 3;

    /** Bounds the requests that a server attracts whose responses are wrong and therefore quick. */
    private static final double MIN_RUN_RATIO = 0.4;

    /** Run time that is assumed while no server has reported one; only ratios matter then. */
    private static final double DEFAULT_RUN_SECONDS = 0.1;

    private final RandomGenerator random;
    private final AvailabilityZone ownZone;
    private final BalancerListener listener;
    private Candidate[] candidates = new Candidate[16];
    private ServerState[] states = new ServerState[16];
    private double[] weights = new double[16];
    private boolean[] own = new boolean[16];
    private int size;
    private long now;
    private double meanRunSeconds;
    private double usualInOwnZone;
    private double usualInOtherZones;
    private double ownWeight;
    private double otherWeight;

    CandidateScan(RandomGenerator random, AvailabilityZone ownZone, BalancerListener listener) {
        this.random = random;
        this.ownZone = ownZone;
        this.listener = listener;
    }

    /**
     * Reads the state of the candidates.
     *
     * <p>The weight of a candidate is the number of requests per second that it is expected to serve; zero if it may not be
     * selected.
     */
    void read(
            Collection<Candidate> members,
            Set<DaemonId> excluded,
            Function<DaemonId, ServerState> stateOf,
            long nowNanos) {
        now = nowNanos;
        size = 0;
        if (candidates.length < members.size()) {
            int capacity = 2 * members.size();
            candidates = Arrays.copyOf(candidates, capacity);
            states = Arrays.copyOf(states, capacity);
            weights = Arrays.copyOf(weights, capacity);
            own = Arrays.copyOf(own, capacity);
        }
        for (Candidate member : members) {
            candidates[size] = member;
            states[size] = stateOf.apply(member.daemon());
            own[size] = member.zone().equals(ownZone);
            size++;
        }
        summarize();
        int ejectable = (int) (size * MAX_EJECTED_SHARE) - countEjected();
        ownWeight = 0;
        otherWeight = 0;
        for (int i = 0; i < size; i++) {
            if (states[i].ejection().isDue() && ejectable > 0) {
                ejectable--;
                listener.onEjected(candidates[i].daemon(), states[i].ejection().eject(now));
            }
            weights[i] = isUsable(i, excluded) ? capacity(i) : 0;
            if (own[i]) {
                ownWeight += weights[i];
            } else {
                otherWeight += weights[i];
            }
        }
    }

    private void summarize() {
        double runSum = 0;
        int runCount = 0;
        for (int i = 0; i < size; i++) {
            ServerState state = states[i];
            if (state.reportedRunSeconds() > 0) {
                runSum += state.reportedRunSeconds();
                runCount++;
            }
        }
        meanRunSeconds = runCount == 0 ? DEFAULT_RUN_SECONDS : runSum / runCount;
        usualInOwnZone = usualUtilization(true, 0);
        usualInOtherZones = usualUtilization(false, usualInOwnZone);
    }

    /**
     * Returns the mean utilization by other daemons according to the recent reports, at most 1, so that a server without a
     * report is preferred to one that is known to have a queue.
     */
    private double usualUtilization(boolean inOwnZone, double withoutReport) {
        double sum = 0;
        int count = 0;
        for (int i = 0; i < size; i++) {
            if (own[i] == inOwnZone && states[i].hasLoad(now)) {
                sum += (double) states[i].othersBusy() / limit(i);
                count++;
            }
        }
        return count == 0 ? withoutReport : Math.min(1, sum / count);
    }

    private int countEjected() {
        int ejected = 0;
        for (int i = 0; i < size; i++) {
            if (states[i].ejection().isEjected(now)) {
                ejected++;
            }
        }
        return ejected;
    }

    private boolean isUsable(int i, Set<DaemonId> excluded) {
        return !states[i].ejection().isEjected(now)
                && !states[i].isLastResort(now)
                && (excluded.isEmpty() || !excluded.contains(candidates[i].daemon()));
    }

    private double capacity(int i) {
        return limit(i) / runSeconds(i) * states[i].health(now);
    }

    private double runSeconds(int i) {
        return Math.max(MIN_RUN_RATIO * meanRunSeconds, states[i].runSeconds(now, meanRunSeconds));
    }

    private int limit(int i) {
        return states[i].limit(now, candidates[i].slots());
    }

    int size() {
        return size;
    }

    Candidate candidate(int i) {
        return candidates[i];
    }

    ServerState state(int i) {
        return states[i];
    }

    boolean isUsable(int i) {
        return weights[i] > 0;
    }

    private double expectedBusy(int i) {
        return states[i].expectedBusy(now, (own[i] ? usualInOwnZone : usualInOtherZones) * limit(i));
    }

    /** Returns whether a slot is expected to be free; without a bias against servers with few slots. */
    boolean hasRoom(int i) {
        return expectedBusy(i) < limit(i);
    }

    /** Returns the utilization that is expected with one more request. */
    double utilizationWithOneMore(int i) {
        return (expectedBusy(i) + 1) / limit(i);
    }

    /** Returns the expected utilization, increased by the share of requests that the server does not serve. */
    double cost(int i) {
        return expectedBusy(i) / limit(i) + states[i].expectedLoss(now);
    }

    /** Returns the expected time until one more request would finish, including its wait for a slot. */
    double finishSeconds(int i) {
        double run = runSeconds(i);
        double wait = Math.max(0, (expectedBusy(i) + 1) / limit(i) - 1);
        return run * (1 + wait) / (1 - Math.min(0.9, states[i].expectedLoss(now)));
    }

    /** Returns the expected run time relative to the mean of the service. */
    double relativeRunTime(int i) {
        return runSeconds(i) / meanRunSeconds;
    }

    /** Returns the mean share of requests that the candidates reject according to recent reports; NaN if there is none. */
    double rejectedShare() {
        double sum = 0;
        int count = 0;
        for (int i = 0; i < size; i++) {
            if (states[i].knowsRejectedShare(now)) {
                sum += states[i].rejectedShare(now);
                count++;
            }
        }
        return count == 0 ? Double.NaN : sum / count;
    }

    /**
     * Draws two candidates of the own zone, or of the other zones, by weight, and returns the one with the lower cost. The
     * draw keeps daemons with the same reports from all selecting the same server.
     */
    int betterOfTwo(boolean inOwnZone) {
        double total = inOwnZone ? ownWeight : otherWeight;
        int first = draw(inOwnZone, NONE, total);
        if (first == NONE) {
            return NONE;
        }
        int second = draw(inOwnZone, first, total - weights[first]);
        return second != NONE && cost(second) < cost(first) ? second : first;
    }

    private int draw(boolean inOwnZone, int skipped, double total) {
        double remaining = random.nextDouble() * total;
        int last = NONE;
        for (int i = 0; i < size; i++) {
            if (own[i] != inOwnZone || i == skipped || weights[i] <= 0) {
                continue;
            }
            last = i;
            remaining -= weights[i];
            if (remaining < 0) {
                break;
            }
        }
        return last;
    }

    /** Draws one of the usable candidates with room of the own zone, otherwise of the others. */
    int anyWithRoom() {
        int result = drawWithRoom(true);
        return result == NONE ? drawWithRoom(false) : result;
    }

    private int drawWithRoom(boolean inOwnZone) {
        int result = NONE;
        double total = 0;
        for (int i = 0; i < size; i++) {
            if (own[i] == inOwnZone && weights[i] > 0 && hasRoom(i)) {
                total += weights[i];
                if (random.nextDouble() * total < weights[i]) {
                    result = i;
                }
            }
        }
        return result;
    }
}
