package io.daisyhoist.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

import io.daisyhoist.core.assignment.Assigner;
import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.lease.FenceOutcome;
import io.daisyhoist.core.lease.HeartbeatOutcome;
import io.daisyhoist.core.lease.LeaseSettings;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ProcessId;

/** Carries out the actions of one controller; can be killed, restarted, paused, and have its control thread stalled. */
final class SimulatedDaemon {
    private final SimulatedGroup group;
    private final Random random;
    private final MemberProfile settings;
    private final SimulatedClock clock;
    private final boolean eager;
    private final long tickNanos;
    private final List<Runnable> deferred = new ArrayList<>();
    private EffectiveConfig config;
    private GroupController controller;
    private GroupSnapshot published = GroupSnapshot.EMPTY;
    private ProcessId process;
    private boolean alive;
    private boolean paused;
    private boolean stalled;
    private boolean detached;

    SimulatedDaemon(
            SimulatedGroup group,
            MemberProfile settings,
            SimulatedClock clock,
            EffectiveConfig config,
            long tickNanos) {
        this.group = group;
        this.random = group.random();
        this.settings = settings;
        this.clock = clock;
        this.config = config;
        this.tickNanos = tickNanos;
        eager = random.nextBoolean();
        process = settings.process();
    }

    DaemonId id() {
        return settings.process().daemon();
    }

    ProcessId process() {
        return process;
    }

    MemberProfile settings() {
        return settings;
    }

    SimulatedClock clock() {
        return clock;
    }

    boolean isAlive() {
        return alive;
    }

    /** Returns what traffic threads would serve from; empty while no thread of the process runs. */
    GroupSnapshot published() {
        return alive && !paused ? published : GroupSnapshot.EMPTY;
    }

    void start() {
        process = new ProcessId(id(), random.nextLong(Long.MAX_VALUE));
        controller = new GroupController(
                new MemberProfile(
                        process,
                        settings.peer(),
                        settings.http(),
                        settings.region(),
                        settings.zone(),
                        settings.service()),
                LeaseSettings.DEFAULT,
                new Assigner(),
                clock,
                random);
        controller.onConfig(config);
        controller.onBackendAvailable(true);
        published = controller.snapshot();
        alive = true;
        tick(process);
    }

    void kill() {
        alive = false;
        paused = false;
        stalled = false;
        clock.resumeMonotonic();
        deferred.clear();
        published = GroupSnapshot.EMPTY;
    }

    void pause(boolean stopMonotonic) {
        paused = true;
        if (stopMonotonic) {
            clock.stopMonotonic();
        }
    }

    /** Stops the control thread only; traffic threads go on with the last published snapshot. */
    void stall() {
        stalled = true;
    }

    void resume() {
        paused = false;
        stalled = false;
        clock.resumeMonotonic();
        group.checkNow();
        List<Runnable> waiting = List.copyOf(deferred);
        deferred.clear();
        waiting.forEach(this::run);
    }

    /** Cuts this process off for good; it runs on while another one takes over its daemon id. */
    void detach() {
        detached = true;
    }

    void setConfig(EffectiveConfig newConfig) {
        config = newConfig;
        run(() -> controller.onConfig(newConfig));
    }

    /** Calls the controller on its control thread. */
    void control(Consumer<GroupController> call) {
        run(() -> call.accept(controller));
    }

    private void run(Runnable work) {
        if (!alive) {
            return;
        }
        if (paused || stalled) {
            deferred.add(work);
            return;
        }
        work.run();
        if (eager) {
            controller.onTick().forEach(this::execute);
        }
        published = controller.snapshot();
    }

    private void runIn(ProcessId of, Runnable work) {
        if (process.equals(of)) {
            run(work);
        }
    }

    private void tick(ProcessId of) {
        if (!alive || !process.equals(of)) {
            return;
        }
        if (!paused && !stalled) {
            run(() -> controller.onTick().forEach(this::execute));
        }
        group.network().after(tickNanos + random.nextInt(5) * SimulatedNetwork.MILLI, () -> tick(of));
    }

    private void execute(GroupAction action) {
        if (detached) {
            return;
        }
        ProcessId sender = process;
        if (action instanceof GroupAction.SendHeartbeat heartbeat) {
            send(heartbeat.to().daemon(), target -> target.answerHeartbeat(this, sender, heartbeat));
        } else if (action instanceof GroupAction.SendFence fence) {
            send(fence.to().daemon(), target -> target.answerFence(this, fence));
        } else if (action instanceof GroupAction.Swap swap) {
            group.platform()
                    .swap(
                            id(),
                            swap.expectedRevision(),
                            swap.newRecord(),
                            (result, at) -> runIn(sender, () -> finishSwap(swap, result, at)));
        } else if (action instanceof GroupAction.ReadRecord) {
            group.platform()
                    .read(
                            id(),
                            (record, at) -> runIn(sender, () -> controller.onRecord(record, at)),
                            () -> runIn(sender, () -> controller.onReadFailed()));
        } else if (action instanceof GroupAction.FetchRecord fetch) {
            send(fetch.from().daemon(), target -> target.publishTo(id()));
        } else if (action instanceof GroupAction.Publish publish) {
            publish.record().members().stream()
                    .map(member -> member.session().daemon())
                    .filter(daemon -> !daemon.equals(id()))
                    .forEach(daemon -> send(
                            daemon, target -> target.controller.onPeerRecord(publish.record(), publish.revision())));
        } else if (action instanceof GroupAction.RequestMove move) {
            send(move.owner().daemon(), target -> target.controller.requestMove(move.partition(), move.to()));
        } else if (action instanceof GroupAction.HandOver handOver) {
            group.network()
                    .after(
                            random.nextLong(300 * SimulatedNetwork.MILLI),
                            () -> runIn(sender, () -> finishHandOver(handOver)));
        }
    }

    private void finishSwap(GroupAction.Swap swap, SwapResult result, long at) {
        if (result == SwapResult.APPLIED) {
            group.checker().acknowledge(swap.newRecord());
        }
        controller.onSwapResult(swap.swapId(), result, at);
    }

    private void finishHandOver(GroupAction.HandOver handOver) {
        if (random.nextInt(10) == 0) {
            controller.onHandOverFailed(handOver.grant().partition(), random.nextBoolean());
        } else {
            controller.onHandedOver(handOver.grant().partition());
        }
    }

    private void send(DaemonId to, Consumer<SimulatedDaemon> work) {
        group.network().send(id(), to, () -> {
            SimulatedDaemon target = group.daemon(to);
            target.run(() -> work.accept(target));
        });
    }

    private void answerHeartbeat(SimulatedDaemon from, ProcessId sender, GroupAction.SendHeartbeat heartbeat) {
        HeartbeatOutcome outcome = controller.onHeartbeat(heartbeat.session());
        ProcessId responder = process;
        long version = controller.snapshot().record().version();
        long senderVersion = from.published.record().version();
        controller.onPeerVersion(sender, senderVersion);
        send(from.id(), target -> {
            target.controller.onPeerVersion(responder, version);
            target.controller.onHeartbeatAck(heartbeat.session(), responder, heartbeat.sentAt(), outcome);
        });
    }

    private void answerFence(SimulatedDaemon from, GroupAction.SendFence fence) {
        FenceOutcome outcome = controller.onFenceRequest(fence.to(), fence.session());
        ProcessId responder = outcome.result() == FenceOutcome.Result.SUPERSEDED ? fence.to() : process;
        send(from.id(), target -> target.controller.onFenceReply(fence.session(), responder, outcome));
    }

    private void publishTo(DaemonId daemon) {
        GroupSnapshot known = controller.snapshot();
        send(daemon, target -> target.controller.onPeerRecord(known.record(), known.revision()));
    }
}
