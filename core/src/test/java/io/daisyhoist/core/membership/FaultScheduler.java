package io.daisyhoist.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ProcessId;

/** Schedules random faults in one history. */
final class FaultScheduler {
    private final SimulatedGroup group;
    private final Random random;
    /**
     * Whether this history stops monotonic clocks instead of stepping wall clocks. Both together hide elapsed time,
     * which leases do not tolerate.
     */
    private final boolean stopsMonotonicClock;

    FaultScheduler(SimulatedGroup group) {
        this.group = group;
        random = group.random();
        stopsMonotonicClock = random.nextBoolean();
    }

    /** Schedules random faults at random times within a period. */
    void scheduleMixedFaults(int count, Duration period) {
        List<Runnable> faults = List.of(
                this::restart,
                this::restart,
                this::pause,
                this::pause,
                this::stallControlThread,
                this::replaceInstance,
                this::isolate,
                this::cutLinks,
                this::cutLinks,
                this::stopPlatform,
                this::losePlatformResponses,
                this::delayPlatformResponses,
                this::disconnectFromPlatform,
                this::leave,
                this::takeZoneOut,
                this::requestMoves,
                this::requestMoves,
                this::stepWallClock);
        for (int index = 0; index < count; index++) {
            scheduleWithin(period, faults.get(random.nextInt(faults.size())));
        }
    }

    /** Schedules moves, withdrawals and joins while the platform loses responses. */
    void scheduleMovesWithLostResponses(Duration period) {
        group.platform().setResponseFaults(0.5, 0);
        for (int index = 0; index < 6; index++) {
            scheduleWithin(period, this::requestMoves);
        }
        scheduleWithin(period, this::takeZoneOut);
        scheduleWithin(period, () -> loseBackend(group.randomDaemon()));
        scheduleWithin(period, this::disconnectFromPlatform);
        scheduleWithin(period, this::restart);
    }

    void scheduleLostWitnessChanges(Duration period) {
        for (int index = 0; index < 3; index++) {
            scheduleWithin(period, this::loseWitnessChangeResponse);
        }
    }

    /**
     * Makes a member replace a witness whose backend is lost. When that change has been written, the member loses the
     * response, the platform, and all links except those to the old witness and to one that is kept.
     */
    private void loseWitnessChangeResponse() {
        SimulatedDaemon member = group.randomDaemon();
        GroupSnapshot known = member.publishedSnapshot();
        List<ProcessId> witnesses = new ArrayList<>(known.session()
                .flatMap(known.record()::member)
                .map(Member::witnesses)
                .orElse(List.of()));
        if (witnesses.isEmpty()) {
            return;
        }
        Collections.shuffle(witnesses, random);
        loseBackend(group.daemon(witnesses.get(0).daemon()));
        group.platform().afterNextWrite(member.id(), () -> {
            group.platform().setDisconnected(member.id(), true);
            group.isolate(member, true);
            witnesses.subList(0, 2).forEach(reachable -> {
                group.setLinkCut(member.id(), reachable.daemon(), false);
                group.setLinkCut(reachable.daemon(), member.id(), false);
            });
            group.network().schedule(randomNanos(4_000, 7_000), () -> group.isolate(member, false));
            group.network()
                    .schedule(randomNanos(6_000, 8_000), () -> group.platform().clearFaults());
        });
    }

    void clearFaults() {
        group.platform().clearFaults();
        group.network().restoreAllLinks();
        group.network().setMessageFaults(0, 0, 0, 1);
        group.daemons().forEach(daemon -> {
            if (daemon.isAlive()) {
                daemon.resume();
            } else {
                daemon.start();
            }
            daemon.setConfig(SimulatedGroup.config(Set.of()));
            daemon.callController(controller -> controller.onBackendAvailable(true));
        });
    }

    private void scheduleWithin(Duration period, Runnable fault) {
        group.network().schedule(random.nextLong(period.toNanos()), fault);
    }

    private long randomNanos(int minMillis, int maxMillis) {
        return (minMillis + random.nextInt(maxMillis - minMillis)) * SimulatedNetwork.NANOS_PER_MILLI;
    }

    private void restart() {
        SimulatedDaemon daemon = group.randomDaemon();
        daemon.kill();
        group.network().schedule(randomNanos(20, 6_000), () -> {
            if (!daemon.isAlive()) {
                daemon.start();
            }
        });
    }

    private void replaceInstance() {
        group.replaceInstance(group.randomDaemon());
    }

    private void pause() {
        SimulatedDaemon daemon = group.randomDaemon();
        daemon.pause(stopsMonotonicClock && random.nextBoolean());
        group.network().schedule(randomNanos(100, 8_000), daemon::resume);
    }

    private void stallControlThread() {
        SimulatedDaemon daemon = group.randomDaemon();
        daemon.stallControlThread();
        group.network().schedule(randomNanos(100, 8_000), daemon::resume);
    }

    private void isolate() {
        SimulatedDaemon daemon = group.randomDaemon();
        group.isolate(daemon, true);
        group.network().schedule(randomNanos(500, 8_000), () -> group.isolate(daemon, false));
    }

    private void cutLinks() {
        cutSomeLinks(group.randomDaemon(), randomNanos(500, 8_000));
    }

    private void cutSomeLinks(SimulatedDaemon daemon, long periodNanos) {
        for (SimulatedDaemon other : group.daemons()) {
            boolean outward = random.nextBoolean();
            boolean inward = random.nextInt(3) == 0 ? random.nextBoolean() : outward;
            group.setLinkCut(daemon.id(), other.id(), outward);
            group.setLinkCut(other.id(), daemon.id(), inward);
        }
        group.network().schedule(periodNanos, () -> group.isolate(daemon, false));
    }

    private void stopPlatform() {
        group.platform().setDown(true);
        group.network()
                .schedule(randomNanos(500, 10_000), () -> group.platform().setDown(false));
    }

    private void losePlatformResponses() {
        group.platform().setResponseFaults(0.5, 0);
        group.network()
                .schedule(randomNanos(1_000, 10_000), () -> group.platform().setResponseFaults(0, 0));
    }

    private void delayPlatformResponses() {
        group.platform().setResponseFaults(0, 2_000);
        group.network()
                .schedule(randomNanos(1_000, 10_000), () -> group.platform().setResponseFaults(0, 0));
    }

    private void disconnectFromPlatform() {
        SimulatedDaemon daemon = group.randomDaemon();
        group.platform().setDisconnected(daemon.id(), true);
        group.network().schedule(randomNanos(500, 8_000), () -> group.platform().setDisconnected(daemon.id(), false));
    }

    private void leave() {
        SimulatedDaemon daemon = group.randomDaemon();
        if (daemon.isAlive()) {
            daemon.callController(GroupController::startLeaving);
            group.network().schedule(randomNanos(500, 5_000), () -> {
                if (daemon.isAlive()) {
                    daemon.callController(GroupController::finishLeaving);
                }
            });
            group.network().schedule(randomNanos(5_000, 9_000), () -> {
                daemon.kill();
                daemon.start();
            });
        }
    }

    private void loseBackend(SimulatedDaemon daemon) {
        if (daemon.isAlive()) {
            daemon.callController(controller -> controller.onBackendAvailable(false));
            group.network().schedule(randomNanos(2_000, 8_000), () -> {
                if (daemon.isAlive()) {
                    daemon.callController(controller -> controller.onBackendAvailable(true));
                }
            });
        }
    }

    private void takeZoneOut() {
        Set<AvailabilityZone> out = Set.of(group.randomDaemon().profile().zone());
        for (SimulatedDaemon daemon : group.daemons()) {
            group.network().schedule(randomNanos(0, 500), () -> daemon.setConfig(SimulatedGroup.config(out)));
            group.network()
                    .schedule(randomNanos(5_000, 9_000), () -> daemon.setConfig(SimulatedGroup.config(Set.of())));
        }
    }

    private void requestMoves() {
        List<PartitionId> partitions = List.copyOf(group.partitions());
        for (SimulatedDaemon daemon : group.daemons()) {
            PartitionId partition = partitions.get(random.nextInt(partitions.size()));
            GroupRecord known = daemon.publishedSnapshot().record();
            if (daemon.isAlive() && !known.members().isEmpty()) {
                Member to = known.members().get(random.nextInt(known.members().size()));
                daemon.callController(controller -> controller.requestMove(partition, to.session()));
            }
        }
    }

    private void stepWallClock() {
        if (!stopsMonotonicClock) {
            group.randomDaemon().clock().stepWallClock(Duration.ofMillis(random.nextInt(10_000) - 5_000));
        }
    }
}
