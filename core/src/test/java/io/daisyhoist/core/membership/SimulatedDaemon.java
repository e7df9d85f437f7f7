package io.daisyhoist.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

import io.daisyhoist.core.assignment.LeastLoadedPlacement;
import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.lease.FenceOutcome;
import io.daisyhoist.core.lease.HeartbeatOutcome;
import io.daisyhoist.core.lease.LeaseSettings;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ProcessId;

/** Runs one controller and carries out its actions; can be killed, restarted and paused, or only its control thread. */
final class SimulatedDaemon {
    private final SimulatedGroup group;
    private final Random random;
    private final MemberProfile profile;
    private final SimulatedClock clock;
    private final boolean ticksAfterEachCall;
    private final long tickNanos;
    private final List<Runnable> deferred = new ArrayList<>();
    private EffectiveConfig config;
    private GroupController controller;
    private GroupSnapshot publishedSnapshot = GroupSnapshot.EMPTY;
    private ProcessId process;
    private boolean alive;
    private boolean paused;
    private boolean controlThreadStalled;
    private boolean disconnected;

    SimulatedDaemon(
            SimulatedGroup group, MemberProfile profile, SimulatedClock clock, EffectiveConfig config, long tickNanos) {
        this.group = group;
        this.random = group.random();
        this.profile = profile;
        this.clock = clock;
        this.config = config;
        this.tickNanos = tickNanos;
        ticksAfterEachCall = random.nextBoolean();
        process = profile.process();
    }

    DaemonId id() {
        return profile.process().daemon();
    }

    ProcessId process() {
        return process;
    }

    MemberProfile profile() {
        return profile;
    }

    SimulatedClock clock() {
        return clock;
    }

    boolean isAlive() {
        return alive;
    }

    /** Returns the snapshot that traffic threads use; empty while no thread of the process runs. */
    GroupSnapshot publishedSnapshot() {
        return alive && !paused ? publishedSnapshot : GroupSnapshot.EMPTY;
    }

    void start() {
        process = new ProcessId(id(), random.nextLong(Long.MAX_VALUE));
        controller = new GroupController(
                new MemberProfile(
                        process, profile.peer(), profile.http(), profile.region(), profile.zone(), profile.service()),
                LeaseSettings.DEFAULT,
                new LeastLoadedPlacement(),
                clock,
                random);
        controller.onConfig(config);
        controller.onBackendAvailable(true);
        publishedSnapshot = controller.snapshot();
        alive = true;
        tick(process);
    }

    void kill() {
        alive = false;
        paused = false;
        controlThreadStalled = false;
        clock.resumeMonotonic();
        deferred.clear();
        publishedSnapshot = GroupSnapshot.EMPTY;
    }

    void pause(boolean stopMonotonic) {
        paused = true;
        if (stopMonotonic) {
            clock.stopMonotonic();
        }
    }

    /** Stops only the control thread; traffic threads continue with the last published snapshot. */
    void stallControlThread() {
        controlThreadStalled = true;
    }

    void resume() {
        paused = false;
        controlThreadStalled = false;
        clock.resumeMonotonic();
        group.checkOwnership();
        List<Runnable> waiting = List.copyOf(deferred);
        deferred.clear();
        waiting.forEach(this::run);
    }

    /** Permanently disconnects this process; it keeps running while another process takes over its daemon id. */
    void disconnect() {
        disconnected = true;
    }

    void setConfig(EffectiveConfig newConfig) {
        config = newConfig;
        run(() -> controller.onConfig(newConfig));
    }

    /** Calls the controller on its control thread. */
    void callController(Consumer<GroupController> call) {
        run(() -> call.accept(controller));
    }

    private void run(Runnable work) {
        if (!alive) {
            return;
        }
        if (paused || controlThreadStalled) {
            deferred.add(work);
            return;
        }
        work.run();
        if (ticksAfterEachCall) {
            controller.onTick().forEach(this::execute);
        }
        publishedSnapshot = controller.snapshot();
    }

    private void runInProcess(ProcessId expected, Runnable work) {
        if (process.equals(expected)) {
            run(work);
        }
    }

    private void tick(ProcessId expected) {
        if (!alive || !process.equals(expected)) {
            return;
        }
        if (!paused && !controlThreadStalled) {
            run(() -> controller.onTick().forEach(this::execute));
        }
        group.network()
                .schedule(tickNanos + random.nextInt(5) * SimulatedNetwork.NANOS_PER_MILLI, () -> tick(expected));
    }

    private void execute(GroupAction action) {
        if (disconnected) {
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
                            (result, revision) -> runInProcess(sender, () -> finishSwap(swap, result, revision)));
        } else if (action instanceof GroupAction.ReadRecord) {
            group.platform()
                    .read(
                            id(),
                            (record, revision) -> runInProcess(sender, () -> controller.onRecord(record, revision)),
                            () -> runInProcess(sender, () -> controller.onReadFailed()));
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
                    .schedule(
                            random.nextLong(300 * SimulatedNetwork.NANOS_PER_MILLI),
                            () -> runInProcess(sender, () -> finishHandOver(handOver)));
        }
    }

    private void finishSwap(GroupAction.Swap swap, SwapResult result, long revision) {
        if (result == SwapResult.APPLIED) {
            group.checker().addAcknowledged(swap.newRecord());
        }
        controller.onSwapResult(swap.swapId(), result, revision);
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
        long senderVersion = from.publishedSnapshot.record().version();
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
