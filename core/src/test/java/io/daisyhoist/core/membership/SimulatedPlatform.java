package io.daisyhoist.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;

import io.daisyhoist.core.model.DaemonId;

/**
 * Compare-and-swap store that can be down, slow or unreachable for some daemons, and can lose responses to writes.
 */
final class SimulatedPlatform {
    private static final long TIMEOUT_NANOS = 500 * SimulatedNetwork.NANOS_PER_MILLI;

    private final SimulatedNetwork network;
    private final Random random;
    private final List<GroupRecord> log = new ArrayList<>(List.of(GroupRecord.EMPTY));
    private final Set<DaemonId> disconnected = new HashSet<>();
    private final Map<DaemonId, Runnable> afterWrite = new HashMap<>();
    private long revision;
    private boolean down;
    private double responseLossProbability;
    private long maxExtraDelayMillis;
    private int reads;

    SimulatedPlatform(SimulatedNetwork network, Random random) {
        this.network = network;
        this.random = random;
    }

    /** Returns all committed records in order. */
    List<GroupRecord> log() {
        return log;
    }

    int reads() {
        return reads;
    }

    void setDown(boolean isDown) {
        down = isDown;
    }

    void setDisconnected(DaemonId daemon, boolean isDisconnected) {
        if (isDisconnected) {
            disconnected.add(daemon);
        } else {
            disconnected.remove(daemon);
        }
    }

    void setResponseFaults(double lossProbability, long maxDelayMillis) {
        responseLossProbability = lossProbability;
        maxExtraDelayMillis = maxDelayMillis;
    }

    /** Injects a fault between the next write of a daemon and its response. */
    void afterNextWrite(DaemonId daemon, Runnable fault) {
        afterWrite.put(daemon, fault);
    }

    void clearFaults() {
        afterWrite.clear();
        down = false;
        disconnected.clear();
        setResponseFaults(0, 0);
    }

    void swap(DaemonId from, long expected, GroupRecord next, BiConsumer<SwapResult, Long> reply) {
        BiConsumer<SwapResult, Long> once = once(reply);
        network.schedule(TIMEOUT_NANOS, () -> once.accept(SwapResult.UNKNOWN, 0L));
        boolean unreachable = down || disconnected.contains(from);
        // A delayed request may still arrive after its sender has timed out.
        if (unreachable && random.nextBoolean()) {
            return;
        }
        long lateArrivalNanos = unreachable ? random.nextLong(8_000 * SimulatedNetwork.NANOS_PER_MILLI) : 0;
        network.schedule(lateArrivalNanos + delayNanos(), () -> apply(from, expected, next, once));
    }

    void read(DaemonId from, BiConsumer<GroupRecord, Long> reply, Runnable failure) {
        reads++;
        BiConsumer<Boolean, Runnable> once = once((ended, work) -> work.run());
        network.schedule(TIMEOUT_NANOS, () -> once.accept(true, failure));
        network.schedule(delayNanos(), () -> {
            GroupRecord current = log.get(log.size() - 1);
            long currentRevision = revision;
            if (isReachable(from) && random.nextDouble() >= responseLossProbability) {
                network.schedule(delayNanos(), () -> {
                    if (isReachable(from)) {
                        once.accept(true, () -> reply.accept(current, currentRevision));
                    }
                });
            }
        });
    }

    private void apply(DaemonId from, long expected, GroupRecord next, BiConsumer<SwapResult, Long> reply) {
        if (down) {
            return;
        }
        boolean applied = expected == revision;
        if (applied) {
            revision += 1 + random.nextInt(3);
            log.add(next);
            Optional.ofNullable(afterWrite.remove(from)).ifPresent(Runnable::run);
        }
        long currentRevision = revision;
        if (random.nextDouble() >= responseLossProbability && isReachable(from)) {
            network.schedule(delayNanos(), () -> {
                if (isReachable(from)) {
                    reply.accept(applied ? SwapResult.APPLIED : SwapResult.CONFLICT, currentRevision);
                }
            });
        }
    }

    private boolean isReachable(DaemonId from) {
        return !down && !disconnected.contains(from);
    }

    private long delayNanos() {
        long base = SimulatedNetwork.NANOS_PER_MILLI + random.nextInt((int) (4 * SimulatedNetwork.NANOS_PER_MILLI));
        return maxExtraDelayMillis == 0
                ? base
                : base + random.nextLong(maxExtraDelayMillis * SimulatedNetwork.NANOS_PER_MILLI);
    }

    private static <A, B> BiConsumer<A, B> once(BiConsumer<A, B> reply) {
        boolean[] done = {false};
        return (first, second) -> {
            if (!done[0]) {
                done[0] = true;
                reply.accept(first, second);
            }
        };
    }
}
