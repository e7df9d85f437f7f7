package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.store.StoreDelta;

/**
 * Decides which daemons watch the store, and passes changes on from them to the other daemons of their availability zone, so
 * that a change costs a few calls of the store instead of one for each daemon.
 *
 * <p>Each daemon derives the watchers of its availability zone from the members that it knows. Invariant: a daemon watches
 * the store itself unless it has heard of a watcher that had contact with the store within {@link #MAX_CONTACT_AGE}; so no
 * daemon depends on a particular other one. Confined to the control thread, except {@link #mustWatch}, which any thread may
 * call.
 */
final class ChangeRelay {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Bounds the messages of a watcher for each change. */
    private static final int MAX_FOLLOWERS_PER_WATCHER = 32;

    /**
     * Longer than the interval of lease renewals and a few reports, so that a slow one changes nothing; short against the
     * time in which a configuration has to be in force, also where the daemon that watches has lost the store.
     */
    private static final Duration MAX_CONTACT_AGE = Duration.ofMillis(1_500);

    private final DaemonId self;
    private final AvailabilityZone zone;
    private final TimeSource time;
    private final Sender sender;
    private List<FleetMember> followers = List.of();
    private volatile boolean following;
    private Optional<FleetMember> ownWatcher = Optional.empty();
    private Optional<Duration> storeContactAge = Optional.empty();
    private long heardContactNanos;

    /** Sends changes to other daemons. */
    interface Sender {
        /** Sends changes of the items under a prefix. */
        void send(List<FleetMember> receivers, String prefix, StoreDelta delta);
    }

    ChangeRelay(DaemonId self, AvailabilityZone zone, TimeSource time, Sender sender) {
        this.self = self;
        this.zone = zone;
        this.time = time;
        this.sender = sender;
        this.heardContactNanos = time.monotonicNanos();
    }

    /**
     * Chooses the watchers again; to be called several times per second.
     *
     * @param members all members
     * @param absent whether a member has no entry in the store, so that it cannot be relied on
     * @param contactAge time since the last contact of this daemon with the store; empty before the first one
     */
    void update(Collection<FleetMember> members, Predicate<DaemonId> absent, Optional<Duration> contactAge) {
        storeContactAge = contactAge.filter(age -> age.compareTo(MAX_CONTACT_AGE) < 0);
        List<FleetMember> zoneMembers = members.stream()
                .filter(member -> member.availabilityZone().equals(zone))
                .toList();
        List<DaemonId> watchers = watchers(zoneMembers, absent);
        boolean watcher = watchers.contains(self);
        followers = watcher && storeContactAge.isPresent() ? followersOf(zoneMembers, watchers) : List.of();
        boolean nowFollowing = !watcher && heardContactAge().compareTo(MAX_CONTACT_AGE) < 0;
        ownWatcher = nowFollowing ? memberOf(zoneMembers, watcherOf(self, watchers)) : Optional.empty();
        if (nowFollowing != following) {
            following = nowFollowing;
            LOGGER.atInfo().log(
                    "event=store_followed by=%s watchers=%s contact_ms=%d",
                    following ? "watcher" : "own_watch",
                    watchers,
                    heardContactAge().toMillis());
        }
    }

    private static List<DaemonId> watchers(List<FleetMember> zoneMembers, Predicate<DaemonId> absent) {
        int count = (zoneMembers.size() + MAX_FOLLOWERS_PER_WATCHER - 1) / MAX_FOLLOWERS_PER_WATCHER;
        return zoneMembers.stream()
                .map(FleetMember::daemon)
                .filter(absent.negate())
                .sorted(Comparator.comparingLong(ChangeRelay::hash).thenComparing(Comparator.naturalOrder()))
                .limit(count)
                .toList();
    }

    private static Optional<FleetMember> memberOf(List<FleetMember> members, Optional<DaemonId> daemon) {
        return members.stream()
                .filter(member -> daemon.equals(Optional.of(member.daemon())))
                .findFirst();
    }

    private List<FleetMember> followersOf(List<FleetMember> zoneMembers, List<DaemonId> watchers) {
        return zoneMembers.stream()
                .filter(member -> !watchers.contains(member.daemon()))
                .filter(member -> watcherOf(member.daemon(), watchers).equals(Optional.of(self)))
                .toList();
    }

    /** Rendezvous hashing: a change of one watcher moves only its own followers. */
    private static Optional<DaemonId> watcherOf(DaemonId follower, List<DaemonId> watchers) {
        return watchers.stream().max(Comparator.comparingLong(candidate -> mix(hash(candidate) ^ hash(follower))));
    }

    private static long hash(DaemonId daemon) {
        return mix(daemon.name().hashCode());
    }

    /** Finalizer of SplittableRandom: neighbouring inputs give unrelated outputs. */
    private static long mix(long input) {
        long mixed = (input ^ (input >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }

    /** Returns whether this daemon has to watch the store itself. */
    boolean mustWatch() {
        return !following;
    }

    /** Returns the daemon that passes changes on to this one; empty if this one watches the store itself. */
    Optional<FleetMember> ownWatcher() {
        return ownWatcher;
    }

    /** Returns the daemons to which this one passes changes on; empty if it is not a watcher. */
    List<FleetMember> followers() {
        return followers;
    }

    /** Returns the time since the last contact of this daemon with the store. */
    Duration storeContactAge() {
        return storeContactAge.orElse(MAX_CONTACT_AGE);
    }

    /** Handles a message of a daemon that passes changes on to this one, with the age of its contact with the store. */
    void onHeard(Duration contactAge) {
        heardContactNanos = Math.max(heardContactNanos, time.monotonicNanos() - contactAge.toNanos());
    }

    private Duration heardContactAge() {
        return Duration.ofNanos(time.monotonicNanos() - heardContactNanos);
    }

    /** Passes changes on that this daemon has read from the store. */
    void passOn(String prefix, StoreDelta delta) {
        if (!followers.isEmpty()) {
            sender.send(followers, prefix, delta);
        }
    }
}
