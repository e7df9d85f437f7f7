package io.daisyhoist.testkit.bench;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.daisyhoist.core.admission.AdaptiveLimit;
import io.daisyhoist.core.admission.AdmissionController;
import io.daisyhoist.core.admission.AdmissionDecision;
import io.daisyhoist.core.admission.AdmissionUpdate;
import io.daisyhoist.core.admission.CostAdmission;
import io.daisyhoist.core.admission.CostDecision;
import io.daisyhoist.core.admission.CostRequest;
import io.daisyhoist.core.admission.Outcome;
import io.daisyhoist.core.admission.Rank;
import io.daisyhoist.core.admission.RequestCost;
import io.daisyhoist.core.admission.ValuePerWorkOrder;
import io.daisyhoist.core.admission.WorkEstimate;
import io.daisyhoist.core.atmostonce.AttemptLedger;
import io.daisyhoist.core.atmostonce.AttemptToken;
import io.daisyhoist.core.atmostonce.LedgerLimits;
import io.daisyhoist.core.atmostonce.RecordedResponse;
import io.daisyhoist.core.membership.GroupRecord;
import io.daisyhoist.core.membership.GroupRecordJson;
import io.daisyhoist.core.membership.Member;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.routing.BackendCandidate;
import io.daisyhoist.core.routing.BackendSelector;
import io.daisyhoist.core.routing.LoadBalancer;
import io.daisyhoist.core.routing.PowerOfTwoChoices;
import io.daisyhoist.core.routing.RoutingSnapshot;
import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.core.time.TimeSource;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Benchmarks of the decisions made for each request or group record change. Confined to one thread per state. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class DecisionBenchmark {
    private static final int KEYS = 1024;
    private static final int SLOTS = 6;
    private static final int QUEUE_BOUND = 24;
    private static final long FAR = Long.MAX_VALUE / 4;
    private static final Duration QUEUE_WAIT = Duration.ofDays(1);
    private static final Duration LATENCY = Duration.ofMillis(2);

    /** Number of group members. */
    @Param({"12", "48"})
    private int members;

    private final TimeSource time = new SystemTimeSource();
    private GroupRecord groupRecord;
    private byte[] recordJson;
    private RoutingSnapshot routing;
    private String[] keys;
    private int nextKeyIndex;
    private AdmissionController admissionController;
    private CostAdmission costAdmission;
    private RequestCost[] costs;
    private Deque<CostRequest> inFlight;
    private int nextCostIndex;
    private BackendSelector selector;
    private List<BackendCandidate> candidates;
    private LoadBalancer loadBalancer;
    private List<LoadBalancer.Candidate> fleetCandidates;
    private AttemptLedger ledger;
    private SplittableRandom random;

    /** Creates the benchmark state. */
    @Setup(Level.Iteration)
    public void setUp() {
        random = new SplittableRandom(1);
        groupRecord = BenchmarkGroup.groupRecord(members);
        recordJson = GroupRecordJson.write(groupRecord);
        routing = RoutingSnapshot.of(groupRecord, BenchmarkGroup.config(members));
        keys = IntStream.range(0, KEYS).mapToObj(index -> "dish-" + index).toArray(String[]::new);
        admissionController = new AdmissionController(time, new AdaptiveLimit(time, 2, 6), 12);
        nextCostIndex = 0;
        fillCostAdmission();
        selector = new PowerOfTwoChoices(new AvailabilityZone("z0"), random.split());
        candidates = groupRecord.members().stream()
                .map(member ->
                        new BackendCandidate(member.session().daemon(), member.zone(), 1, 2, 6, Duration.ofMillis(300)))
                .toList();
        fleetCandidates = candidates.stream()
                .map(candidate -> new LoadBalancer.Candidate(candidate.daemon(), candidate.zone(), candidate.limit()))
                .toList();
        loadBalancer = new LoadBalancer(time, random.split(), new AvailabilityZone("z0"));
        fleetCandidates.forEach(candidate ->
                loadBalancer.onReport(candidate.daemon(), new LoadBalancer.Report(2, candidate.slots(), 1, 10, 0)));
        ledger = new AttemptLedger(new PartitionId(BenchmarkGroup.SERVICE, 0), 1, LedgerLimits.DEFAULT, time);
    }

    /** Lookup of the owner of a key. */
    @Benchmark
    public Optional<Member> ownerLookup() {
        nextKeyIndex = (nextKeyIndex + 1) % KEYS;
        return routing.partitionOf(BenchmarkGroup.SERVICE, keys[nextKeyIndex]).flatMap(routing::owner);
    }

    /** Admission and completion of one request at an idle backend server. */
    @Benchmark
    public AdmissionUpdate admission() {
        AdmissionDecision decision = admissionController.offer(Rank.NORMAL, Duration.ofSeconds(1));
        return decision instanceof AdmissionDecision.Admitted admitted
                ? admissionController.complete(admitted.permit(), Outcome.OK, LATENCY)
                : AdmissionUpdate.NONE;
    }

    /** All decisions about one request at a busy backend server with a full queue: its arrival, an end, and the next start. */
    @Benchmark
    public CostDecision costAdmission() {
        costAdmission.complete(inFlight.remove());
        costAdmission.refuseNext();
        inFlight.add(costAdmission.startNext().orElseThrow());
        return costAdmission.offer(costs[nextCostIndex++ & (KEYS - 1)], QUEUE_WAIT);
    }

    private RequestCost cost(int index) {
        long work = Duration.ofMillis(30 + 10L * (index % 40)).toNanos();
        return new RequestCost(index % 20, index % 3, index % 4 == 0, FAR, FAR, new WorkEstimate(work, 0));
    }

    private void fillCostAdmission() {
        costAdmission = new CostAdmission(time, new ValuePerWorkOrder(), SLOTS, QUEUE_BOUND);
        costs = IntStream.range(0, KEYS).mapToObj(this::cost).toArray(RequestCost[]::new);
        inFlight = new ArrayDeque<>();
        while (inFlight.size() < SLOTS) {
            inFlight.add(((CostDecision.Started) costAdmission.offer(costs[nextCostIndex++], QUEUE_WAIT)).request());
        }
        while (costAdmission.queued() < QUEUE_BOUND) {
            costAdmission.offer(costs[nextCostIndex++], QUEUE_WAIT);
        }
    }

    /** Selection of a backend server for a request without a key. */
    @Benchmark
    public Optional<BackendCandidate> selection() {
        return selector.select(candidates);
    }

    /** Selection of a backend server in fleet mode. */
    @Benchmark
    public Optional<LoadBalancer.Candidate> fleetSelection() {
        return loadBalancer.select(fleetCandidates, Set.of());
    }

    /** One attempt, from issuing the token to recording the response. */
    @Benchmark
    public int attempt() {
        AttemptToken token = ledger.issue(random);
        ledger.begin(token);
        ledger.recordResponse(token, new RecordedResponse(200, List.of(), new byte[32]));
        return ledger.size();
    }

    /** Processing of a group record change by a member: parsing and indexing. */
    @Benchmark
    public RoutingSnapshot recordChange() {
        return RoutingSnapshot.of(GroupRecordJson.read(recordJson), routing.config());
    }

    /** Serialization of a group record by its writer. */
    @Benchmark
    public byte[] recordWrite() {
        return GroupRecordJson.write(groupRecord);
    }
}
