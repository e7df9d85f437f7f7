package io.daisyhoist.core.membership;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import io.daisyhoist.core.admission.ManualTime;
import io.daisyhoist.core.assignment.LeastLoadedPlacement;
import io.daisyhoist.core.lease.HeartbeatOutcome;
import io.daisyhoist.core.lease.LeaseSettings;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.model.SessionId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards the platform's read rate: 2,000 reads/s must serve 6,300 daemons in 525 groups, with room for configuration,
 * watches and recovery.
 */
class IdleGroupTest {
    private static final Duration SIMULATED_TIME = Duration.ofMinutes(2);
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(700);

    /** One read per 15 s for each member: 420 reads/s at 6,300 daemons. */
    private static final int MAX_MEMBER_READS = 8;

    /** One read per 2 s for one member of a group: 262 reads/s at 525 groups. */
    private static final int MAX_PROPOSER_READS = 60;

    @Test
    void member_readsThePlatformAtMostEvery15Seconds() {
        assertTrue(
                readsWhileIdle("d9") <= MAX_MEMBER_READS,
                () -> "reads in " + SIMULATED_TIME + ": " + readsWhileIdle("d9"));
    }

    @Test
    void proposer_readsThePlatformAtMostEvery2Seconds() {
        assertTrue(
                readsWhileIdle("d0") <= MAX_PROPOSER_READS,
                () -> "reads in " + SIMULATED_TIME + ": " + readsWhileIdle("d0"));
    }

    private static int readsWhileIdle(String daemon) {
        ManualTime time = new ManualTime();
        MemberProfile localProfile = profile(daemon);
        GroupController controller = new GroupController(
                localProfile, LeaseSettings.DEFAULT, new LeastLoadedPlacement(), time, new SplittableRandom(1));
        controller.onBackendAvailable(true);
        List<Member> others = IntStream.range(1, 4)
                .mapToObj(index -> profile("d" + index))
                .map(profile ->
                        profile.newMember(new SessionId(profile.process().daemon(), 1, 1)))
                .toList();
        GroupRecord record = new GroupRecord(4, others, List.of());
        int reads = 0;
        long revision = 4;
        for (long elapsedNanos = 0; elapsedNanos < SIMULATED_TIME.toNanos(); elapsedNanos += TICK.toNanos()) {
            if (elapsedNanos % HEARTBEAT_INTERVAL.toNanos() == 0) {
                others.forEach(member -> controller.onHeartbeat(member.session()));
            }
            for (GroupAction action : controller.onTick()) {
                if (action instanceof GroupAction.ReadRecord) {
                    reads++;
                    controller.onRecord(record, revision);
                } else if (action instanceof GroupAction.Swap swap) {
                    record = swap.newRecord();
                    revision++;
                    controller.onSwapResult(swap.swapId(), SwapResult.APPLIED, revision);
                } else if (action instanceof GroupAction.SendHeartbeat heartbeat) {
                    controller.onHeartbeatAck(
                            heartbeat.session(), heartbeat.to(), heartbeat.sentAt(), HeartbeatOutcome.ACKNOWLEDGED);
                }
            }
            time.advance(TICK);
        }
        assertTrue(controller.snapshot().lease().isValid(time), "the daemon must have joined and must hold its lease");
        return reads;
    }

    private static MemberProfile profile(String daemon) {
        Endpoint endpoint = new Endpoint("127.0.0.1", 1000 + daemon.charAt(1));
        return new MemberProfile(
                new ProcessId(new DaemonId(daemon), 1),
                endpoint,
                endpoint,
                "region",
                new AvailabilityZone("zone" + daemon.charAt(1) % 3),
                new ServiceName("archive"));
    }
}
