package io.daisyhoist.testkit.bench;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.daisyhoist.core.admission.AdaptiveLimit;
import io.daisyhoist.core.admission.AdmissionGate;
import io.daisyhoist.core.admission.GateUpdate;
import io.daisyhoist.core.admission.Offer;
import io.daisyhoist.core.admission.Outcome;
import io.daisyhoist.core.admission.Rank;
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
import io.daisyhoist.core.routing.PowerOfTwoChoices;
import io.daisyhoist.core.routing.RoutingView;
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

/** Cost of the decisions that each request or each record change needs. Confined to one thread per state. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class DecisionBenchmark {
    private static final int KEYS = 1024;
    private static final Duration LATENCY = Duration.ofMillis(2);

    /** Members of the group. */
    @Param({"12", "48"})
    private int members;

    private final TimeSource time = new SystemTimeSource();
    private GroupRecord record;
    private byte[] json;
    private RoutingView routing;
    private String[] keys;
    private int next;
    private AdmissionGate gate;
    private BackendSelector selector;
    private List<BackendCandidate> candidates;
    private AttemptLedger ledger;
    private SplittableRandom random;

    /** Builds the state. */
    @Setup(Level.Iteration)
    public void setUp() {
        random = new SplittableRandom(1);
        record = BenchGroup.record(members);
        json = GroupRecordJson.write(record);
        routing = RoutingView.of(record, BenchGroup.config(members));
        keys = IntStream.range(0, KEYS).mapToObj(index -> "dish-" + index).toArray(String[]::new);
        gate = new AdmissionGate(time, new AdaptiveLimit(time, 2, 6), 12);
        selector = new PowerOfTwoChoices(new AvailabilityZone("z0"), random.split());
        candidates = record.members().stream()
                .map(member ->
                        new BackendCandidate(member.session().daemon(), member.zone(), 1, 2, 6, Duration.ofMillis(300)))
                .toList();
        ledger = new AttemptLedger(new PartitionId(BenchGroup.SERVICE, 0), 1, LedgerLimits.DEFAULT, time);
    }

    /** Key to owner. */
    @Benchmark
    public Optional<Member> ownerLookup() {
        next = (next + 1) % KEYS;
        return routing.partitionOf(BenchGroup.SERVICE, keys[next]).flatMap(routing::owner);
    }

    /** One request through the gate of an idle backend server. */
    @Benchmark
    public GateUpdate admission() {
        Offer offer = gate.offer(Rank.NORMAL, Duration.ofSeconds(1));
        return offer instanceof Offer.Admitted admitted
                ? gate.complete(admitted.permit(), Outcome.OK, LATENCY)
                : GateUpdate.NONE;
    }

    /** Choice of a backend server for a request without a key. */
    @Benchmark
    public Optional<BackendCandidate> selection() {
        return selector.select(candidates);
    }

    /** One attempt from token to recorded response. */
    @Benchmark
    public int attempt() {
        AttemptToken token = ledger.issue(random);
        ledger.begin(token);
        ledger.finished(token, new RecordedResponse(200, List.of(), new byte[32]));
        return ledger.size();
    }

    /** A record change as each member takes it: parse and index. */
    @Benchmark
    public RoutingView recordChange() {
        return RoutingView.of(GroupRecordJson.read(json), routing.config());
    }

    /** A record change as its writer makes it. */
    @Benchmark
    public byte[] recordWrite() {
        return GroupRecordJson.write(record);
    }
}
