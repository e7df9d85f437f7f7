package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.daemon.process.ControlExecutor;
import io.daisyhoist.mesh.process.PeerMessages.LoadReport;
import io.daisyhoist.mesh.store.StoreDelta;

/**
 * Keeps the copies of the operators' and of the daemons' items current, by watches of the store or by the changes that a
 * watching daemon passes on.
 *
 * <p>Invariant: a copy that other daemons report to be behind, or that cannot apply the changes passed on to it, asks the
 * store. Confined to the control thread.
 */
final class StoreFollower {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Time for changes that are on their way from the watching daemon. */
    private static final Duration CATCH_UP_DELAY = Duration.ofMillis(300);

    private final StoreCache operatorCache;
    private final StoreCache fleetCache;
    private final ChangeRelay relay;
    private final ControlExecutor control;
    private final FleetControl.PeerSender sender;
    private boolean catchUpScheduled;

    /** Creates copies that are not loaded. */
    StoreFollower(
            DaemonId self,
            AvailabilityZone zone,
            StoreAccess access,
            StoreCache operatorCache,
            StoreCache fleetCache,
            FleetControl.PeerSender sender) {
        this.operatorCache = operatorCache;
        this.fleetCache = fleetCache;
        this.control = access.control();
        this.sender = sender;
        this.relay = new ChangeRelay(
                self,
                zone,
                access.time(),
                (receivers, prefix, delta) -> sender.send(receivers, PeerMessages.storeChanges(prefix, delta)));
    }

    /** Chooses again whether this daemon watches the store; to be called several times per second. */
    void update(Collection<FleetMember> members, Predicate<DaemonId> absent, Optional<Duration> storeContactAge) {
        relay.update(members, absent, storeContactAge);
        operatorCache.setWatching(relay.mustWatch());
        fleetCache.setWatching(relay.mustWatch());
    }

    /** Returns whether the copies follow the store by watches of their own. */
    boolean isWatching() {
        return relay.mustWatch();
    }

    /** Returns the daemon that passes changes on to this one; empty if this one watches the store itself. */
    Optional<FleetMember> watcher() {
        return relay.ownWatcher();
    }

    /** Tells the daemons to which this one passes changes on, if there are any, when it last had contact with the store. */
    void report(Supplier<LoadReport> localReport) {
        List<FleetMember> followers = relay.followers();
        if (!followers.isEmpty()) {
            LoadReport report = localReport.get().forFollowers(relay.storeContactAge());
            sender.send(followers, PeerMessages.loadReport(report));
        }
    }

    /** Handles changes that have been read from the store. */
    void onAdvanced(StoreCache cache, StoreDelta delta) {
        relay.passOn(cache.prefix(), delta);
    }

    /** Handles changes that another daemon passes on. */
    void onChanges(String prefix, StoreDelta delta) {
        relay.onHeard(Duration.ZERO);
        for (StoreCache cache : List.of(operatorCache, fleetCache)) {
            if (cache.prefix().equals(prefix) && !cache.applyDelta(delta)) {
                LOGGER.atInfo().log(
                        "event=store_changes_missed prefix=%s as_of=%d from=%d outcome=read_again",
                        prefix, cache.asOf(), delta.fromRevision());
                cache.catchUp();
            }
        }
    }

    /** Handles the revisions that another daemon knows. */
    void onReport(LoadReport report) {
        report.storeContactAge().ifPresent(relay::onHeard);
        if (report.fleetRevision() > fleetCache.asOf() && !catchUpScheduled) {
            catchUpScheduled = true;
            control.scheduleOnce(() -> catchUp(report.fleetRevision()), CATCH_UP_DELAY);
        }
    }

    private void catchUp(long revision) {
        catchUpScheduled = false;
        if (revision > fleetCache.asOf()) {
            fleetCache.catchUp();
        }
    }

    /** Replaces watches that may never return, because the connection to the store was interrupted. */
    void onStoreRecovered() {
        operatorCache.restartWatch();
        fleetCache.restartWatch();
    }
}
