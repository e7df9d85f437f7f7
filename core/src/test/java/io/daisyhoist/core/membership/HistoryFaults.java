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
final class HistoryFaults {
    private final SimulatedGroup group;
    private final Random random;
    /** A stopped monotonic clock together with a wall clock set back hides elapsed time; that is not tolerated. */
    private final boolean stopsMonotonic;

    HistoryFaults(SimulatedGroup group) {
        this.group = group;
        random = group.random();
        stopsMonotonic = random.nextBoolean();
    }

    /** Any faults at any moments of a period. */
    void scheduleAny(int count, Duration period) {
        List<Runnable> kinds = List.of(
                this::restart,
                this::restart,
                this::pause,
                this::pause,
                this::stall,
                this::replace,
                this::isolate,
                this::cutLinks,
                this::cutLinks,
                this::platformDown,
                this::platformLossy,
                this::platformSlow,
                this::cutOffPlatform,
                this::leave,
                this::zoneOut,
                this::moves,
                this::moves,
                this::stepWall);
        for (int index = 0; index < count; index++) {
            at(period, kinds.get(random.nextInt(kinds.size())));
        }
    }

    /** Moves, withdrawals and joins while the platform loses responses. */
    void scheduleMoves(Duration period) {
        group.platform().setQuality(0.5, 0);
        for (int index = 0; index < 6; index++) {
            at(period, this::moves);
        }
        at(period, this::zoneOut);
        at(period, () -> withdraw(group.randomDaemon()));
        at(period, this::cutOffPlatform);
        at(period, this::restart);
    }

    void scheduleWitnessChanges(Duration period) {
        for (int index = 0; index < 3; index++) {
            at(period, this::loseWitnessChange);
        }
    }

    /**
     * A witness withdraws, so its owner replaces it; when that change is written, the owner loses its response, the
     * platform, and all links but those to the old witness and to one that stays.
     */
    private void loseWitnessChange() {
        SimulatedDaemon owner = group.randomDaemon();
        GroupSnapshot known = owner.published();
        List<ProcessId> witnesses = new ArrayList<>(known.session()
                .flatMap(known.record()::member)
                .map(Member::witnesses)
                .orElse(List.of()));
        if (witnesses.isEmpty()) {
            return;
        }
        Collections.shuffle(witnesses, random);
        withdraw(group.daemon(witnesses.get(0).daemon()));
        group.platform().afterNextWrite(owner.id(), () -> {
            group.platform().setCutOff(owner.id(), true);
            group.isolate(owner, true);
            witnesses.subList(0, 2).forEach(heard -> {
                group.setCut(owner.id(), heard.daemon(), false);
                group.setCut(heard.daemon(), owner.id(), false);
            });
            group.network().after(millis(4_000, 7_000), () -> group.isolate(owner, false));
            group.network().after(millis(6_000, 8_000), () -> group.platform().heal());
        });
    }

    void heal() {
        group.platform().heal();
        group.network().healAll();
        group.network().setQuality(0, 0, 0, 1);
        group.daemons().forEach(daemon -> {
            if (daemon.isAlive()) {
                daemon.resume();
            } else {
                daemon.start();
            }
            daemon.setConfig(SimulatedGroup.config(Set.of()));
            daemon.control(controller -> controller.onBackendAvailable(true));
        });
    }

    private void at(Duration period, Runnable fault) {
        group.network().after(random.nextLong(period.toNanos()), fault);
    }

    private long millis(int least, int most) {
        return (least + random.nextInt(most - least)) * SimulatedNetwork.MILLI;
    }

    private void restart() {
        SimulatedDaemon daemon = group.randomDaemon();
        daemon.kill();
        group.network().after(millis(20, 6_000), () -> {
            if (!daemon.isAlive()) {
                daemon.start();
            }
        });
    }

    private void replace() {
        group.replace(group.randomDaemon());
    }

    private void pause() {
        SimulatedDaemon daemon = group.randomDaemon();
        daemon.pause(stopsMonotonic && random.nextBoolean());
        group.network().after(millis(100, 8_000), daemon::resume);
    }

    private void stall() {
        SimulatedDaemon daemon = group.randomDaemon();
        daemon.stall();
        group.network().after(millis(100, 8_000), daemon::resume);
    }

    private void isolate() {
        SimulatedDaemon daemon = group.randomDaemon();
        group.isolate(daemon, true);
        group.network().after(millis(500, 8_000), () -> group.isolate(daemon, false));
    }

    private void cutLinks() {
        cutSomeLinks(group.randomDaemon(), millis(500, 8_000));
    }

    private void cutSomeLinks(SimulatedDaemon daemon, long periodNanos) {
        for (SimulatedDaemon other : group.daemons()) {
            boolean outward = random.nextBoolean();
            boolean inward = random.nextInt(3) == 0 ? random.nextBoolean() : outward;
            group.setCut(daemon.id(), other.id(), outward);
            group.setCut(other.id(), daemon.id(), inward);
        }
        group.network().after(periodNanos, () -> group.isolate(daemon, false));
    }

    private void platformDown() {
        group.platform().setDown(true);
        group.network().after(millis(500, 10_000), () -> group.platform().setDown(false));
    }

    private void platformLossy() {
        group.platform().setQuality(0.5, 0);
        group.network().after(millis(1_000, 10_000), () -> group.platform().setQuality(0, 0));
    }

    private void platformSlow() {
        group.platform().setQuality(0, 2_000);
        group.network().after(millis(1_000, 10_000), () -> group.platform().setQuality(0, 0));
    }

    private void cutOffPlatform() {
        SimulatedDaemon daemon = group.randomDaemon();
        group.platform().setCutOff(daemon.id(), true);
        group.network().after(millis(500, 8_000), () -> group.platform().setCutOff(daemon.id(), false));
    }

    private void leave() {
        SimulatedDaemon daemon = group.randomDaemon();
        if (daemon.isAlive()) {
            daemon.control(GroupController::startLeaving);
            group.network().after(millis(500, 5_000), () -> {
                if (daemon.isAlive()) {
                    daemon.control(GroupController::finishLeaving);
                }
            });
            group.network().after(millis(5_000, 9_000), () -> {
                daemon.kill();
                daemon.start();
            });
        }
    }

    private void withdraw(SimulatedDaemon daemon) {
        if (daemon.isAlive()) {
            daemon.control(controller -> controller.onBackendAvailable(false));
            group.network().after(millis(2_000, 8_000), () -> {
                if (daemon.isAlive()) {
                    daemon.control(controller -> controller.onBackendAvailable(true));
                }
            });
        }
    }

    private void zoneOut() {
        Set<AvailabilityZone> out = Set.of(group.randomDaemon().settings().zone());
        for (SimulatedDaemon daemon : group.daemons()) {
            group.network().after(millis(0, 500), () -> daemon.setConfig(SimulatedGroup.config(out)));
            group.network().after(millis(5_000, 9_000), () -> daemon.setConfig(SimulatedGroup.config(Set.of())));
        }
    }

    private void moves() {
        List<PartitionId> partitions = List.copyOf(group.partitions());
        for (SimulatedDaemon daemon : group.daemons()) {
            PartitionId partition = partitions.get(random.nextInt(partitions.size()));
            GroupRecord known = daemon.published().record();
            if (daemon.isAlive() && !known.members().isEmpty()) {
                Member to = known.members().get(random.nextInt(known.members().size()));
                daemon.control(controller -> controller.requestMove(partition, to.session()));
            }
        }
    }

    private void stepWall() {
        if (!stopsMonotonic) {
            group.randomDaemon().clock().stepWall(Duration.ofMillis(random.nextInt(10_000) - 5_000));
        }
    }
}
