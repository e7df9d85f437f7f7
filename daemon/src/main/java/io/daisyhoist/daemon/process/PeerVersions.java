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
 * Versions and loads that heartbeats and their acknowledgements carry.
 *
 * <p>Used on the control thread, except {@link #load}, which any thread may call.
 */
final class PeerVersions {
    /** Load of a member as its daemon last reported it. */
    record ReportedLoad(int inFlight, int limit, ElapsedTimer receivedAt) {}

    /** Fetches the configuration from a peer that has a later version. */
    interface ConfigFetcher {
        void fetch(Endpoint peer);
    }

    private static final Duration UNCONFIRMED = Duration.ofDays(1);

    private final TimeSource time;
    private final GroupController controller;
    private final ConfigTracker config;
    private final Supplier<Load> ownLoad;
    private final ConfigFetcher fetcher;
    private final Map<DaemonId, ReportedLoad> loads = new ConcurrentHashMap<>();

    PeerVersions(
            TimeSource time,
            GroupController controller,
            ConfigTracker config,
            Supplier<Load> ownLoad,
            ConfigFetcher fetcher) {
        this.time = time;
        this.controller = controller;
        this.config = config;
        this.ownLoad = ownLoad;
        this.fetcher = fetcher;
    }

    Versions own() {
        Duration age = config.confirmationAge().orElse(UNCONFIRMED);
        return Versions.newBuilder()
                .setGroupVersion(controller.snapshot().record().version())
                .setConfigVersion(config.current().version())
                .setConfigConfirmedAgeMs((int) Math.min(age.toMillis(), UNCONFIRMED.toMillis()))
                .build();
    }

    Load ownLoad() {
        return ownLoad.get();
    }

    void onPeer(ProcessId peer, Endpoint address, Versions versions, Load load) {
        loads.put(peer.daemon(), new ReportedLoad(load.getInFlight(), load.getLimit(), ElapsedTimer.start(time)));
        controller.onPeerVersion(peer, versions.getGroupVersion());
        if (versions.getConfigVersion() > config.current().version()) {
            fetcher.fetch(address);
            return;
        }
        config.onPeerConfirmation(versions.getConfigVersion(), Duration.ofMillis(versions.getConfigConfirmedAgeMs()));
    }

    Optional<ReportedLoad> load(DaemonId daemon) {
        return Optional.ofNullable(loads.get(daemon));
    }

    /** Drops the loads of daemons that are no longer members, so that the map stays as small as the group. */
    void retainMembers(Set<DaemonId> members) {
        loads.keySet().retainAll(members);
    }
}
