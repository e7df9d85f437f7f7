package io.daisyhoist.testkit.bench;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.config.ServiceSettings;
import io.daisyhoist.core.membership.Grant;
import io.daisyhoist.core.membership.GroupRecord;
import io.daisyhoist.core.membership.Member;
import io.daisyhoist.core.membership.MemberState;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.model.SessionId;

/** Creates group records and configurations of a given size for benchmarks. Stateless. */
final class BenchmarkGroup {
    static final ServiceName SERVICE = new ServiceName("store");
    private static final int PARTITIONS_PER_MEMBER = 8;
    private static final int ZONES = 3;
    private static final int WITNESSES_PER_MEMBER = 3;
    private static final int FIRST_PORT = 20_000;

    private BenchmarkGroup() {}

    static SessionId session(int index) {
        return new SessionId(new DaemonId("store-" + index), 1_000 + index, 1);
    }

    static Member member(int index, int members) {
        List<ProcessId> witnesses = IntStream.rangeClosed(1, WITNESSES_PER_MEMBER)
                .mapToObj(offset -> session((index + offset) % members).process())
                .toList();
        return new Member(
                session(index),
                new Endpoint("127.0.0.1", FIRST_PORT + index),
                new Endpoint("127.0.0.1", FIRST_PORT + members + index),
                "r1",
                new AvailabilityZone("z" + index % ZONES),
                SERVICE,
                MemberState.ACTIVE,
                witnesses);
    }

    static GroupRecord groupRecord(int members) {
        List<Grant> grants = IntStream.range(0, members * PARTITIONS_PER_MEMBER)
                .mapToObj(index -> new Grant(new PartitionId(SERVICE, index), session(index % members), 1 + index))
                .toList();
        return new GroupRecord(
                grants.size() + 1L,
                IntStream.range(0, members)
                        .mapToObj(index -> member(index, members))
                        .toList(),
                grants);
    }

    static EffectiveConfig config(int members) {
        ServiceSettings settings = new ServiceSettings(
                SERVICE, true, members * PARTITIONS_PER_MEMBER, 6, 110, 2, true, Set.of("POST"), Duration.ofSeconds(5));
        return new EffectiveConfig(1, Map.of(SERVICE, settings), Map.of(), Map.of());
    }
}
