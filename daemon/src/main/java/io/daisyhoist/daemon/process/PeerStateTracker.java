package io.daisyhoist.daemon.process;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import io.daisyhoist.core.membership.GroupController;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.version.ConfigTracker;
import io.daisyhoist.wire.proto.Load;
import io.daisyhoist.wire.proto.Versions;

/**
 * Tracks the versions and loads that daemons exchange in heartbeats and their acknowledgements.
 *
 * <p>Used on the control thread, except {@link #load}, which any thread may call.
 */
final class PeerStateTracker {
    /** Load that a member's daemon last reported. */
    record ReportedLoad(int inFlight, int limit, ElapsedTimer receivedAt) {}

    /** Fetches the configuration from a peer that has a later version. */
    interface ConfigFetcher {
        void fetch(Endpoint peer);
    }

    private static final Duration UNCONFIRMED_AGE = Duration.ofDays(1);

    private final TimeSource time;
    private final GroupController controller;
    private final ConfigTracker configTracker;
    private final Supplier<Load> ownLoad;
    private final ConfigFetcher configFetcher;
    private final Map<DaemonId, ReportedLoad> loads = new ConcurrentHashMap<>();

    PeerStateTracker(
            TimeSource time,
            GroupController controller,
            ConfigTracker configTracker,
            Supplier<Load> ownLoad,
            ConfigFetcher configFetcher) {
        this.time = time;
        this.controller = controller;
        this.configTracker = configTracker;
        this.ownLoad = ownLoad;
        this.configFetcher = configFetcher;
    }

    Versions ownVersions() {
        Duration age = configTracker.confirmationAge().orElse(UNCONFIRMED_AGE);
        return Versions.newBuilder()
                .setGroupVersion(controller.snapshot().record().version())
                .setConfigVersion(configTracker.current().version())
                .setConfigConfirmedAgeMs((int) Math.min(age.toMillis(), UNCONFIRMED_AGE.toMillis()))
                .build();
    }

    Load ownLoad() {
        return ownLoad.get();
    }

    void onPeerState(ProcessId peer, Endpoint endpoint, Versions versions, Load load) {
        loads.put(peer.daemon(), new ReportedLoad(load.getInFlight(), load.getLimit(), ElapsedTimer.start(time)));
        controller.onPeerVersion(peer, versions.getGroupVersion());
        if (versions.getConfigVersion() > configTracker.current().version()) {
            configFetcher.fetch(endpoint);
            return;
        }
        configTracker.onPeerConfirmation(
                versions.getConfigVersion(), Duration.ofMillis(versions.getConfigConfirmedAgeMs()));
    }

    Optional<ReportedLoad> load(DaemonId daemon) {
        return Optional.ofNullable(loads.get(daemon));
    }

    /** Removes the loads of daemons that are no longer members, which bounds the map by the size of the group. */
    void retainMembers(Set<DaemonId> members) {
        loads.keySet().retainAll(members);
    }
}
