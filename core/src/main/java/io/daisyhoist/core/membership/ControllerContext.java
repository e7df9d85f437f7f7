package io.daisyhoist.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.lease.LeaseSettings;
import io.daisyhoist.core.time.TimeSource;

/** State shared by the parts of one controller: settings, time and the actions of the current call. Not thread-safe. */
final class ControllerContext {
    private final MemberProfile profile;
    private final LeaseSettings settings;
    private final Placement placement;
    private final TimeSource time;
    private final RandomGenerator random;
    private final List<GroupAction> actions = new ArrayList<>();
    private EffectiveConfig config = EffectiveConfig.EMPTY;

    ControllerContext(
            MemberProfile profile,
            LeaseSettings settings,
            Placement placement,
            TimeSource time,
            RandomGenerator random) {
        this.profile = profile;
        this.settings = settings;
        this.placement = placement;
        this.time = time;
        this.random = random;
    }

    MemberProfile profile() {
        return profile;
    }

    LeaseSettings settings() {
        return settings;
    }

    Placement placement() {
        return placement;
    }

    TimeSource time() {
        return time;
    }

    EffectiveConfig config() {
        return config;
    }

    void setConfig(EffectiveConfig newConfig) {
        config = newConfig;
    }

    /** Returns the monotonic time at which a delay that starts now ends, in nanoseconds. */
    long nanosAfter(Duration delay) {
        return time.monotonicNanos() + delay.toNanos();
    }

    /** Returns the monotonic time at which a random delay between zero and a bound ends, in nanoseconds. */
    long nanosAfterRandom(Duration bound) {
        return time.monotonicNanos() + random.nextLong(bound.toNanos());
    }

    boolean isDue(long deadlineNanos) {
        return time.monotonicNanos() - deadlineNanos >= 0;
    }

    void emit(GroupAction action) {
        actions.add(action);
    }

    List<GroupAction> drainActions() {
        List<GroupAction> drained = List.copyOf(actions);
        actions.clear();
        return drained;
    }
}
