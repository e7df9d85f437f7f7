package io.daisyhoist.daemon.process;

import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import io.daisyhoist.core.assignment.Assigner;
import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.lease.LeaseSettings;
import io.daisyhoist.core.membership.GroupController;
import io.daisyhoist.core.membership.GroupSnapshot;
import io.daisyhoist.core.membership.MemberProfile;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.routing.RoutingView;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.PeerClient;
import io.daisyhoist.daemon.connection.PeerIdentity;
import io.daisyhoist.daemon.connection.PeerLimits;
import io.daisyhoist.daemon.connection.PlatformStore;
import io.daisyhoist.daemon.process.settings.DaemonSettings;
import io.daisyhoist.daemon.version.ConfigTracker;
import io.daisyhoist.wire.proto.Load;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/**
 * The control side of a daemon, connected: membership, leases and configuration.
 *
 * <p>Everything but {@link #group()}, {@link #routing()} and {@link #loads()} is used on the control thread. Those
 * publish immutable snapshots for traffic threads.
 */
final class Control implements AutoCloseable {
    /** Peer messages are small; one loop for accepted and one for opened connections is enough. */
    private static final int PEER_EVENT_LOOPS = 2;

    private static final String GROUP_KEY_PREFIX = "daisyhoist/groups/";

    private final ControlContext context;
    private final EventLoopGroup peerLoops;
    private final PeerIdentity identity;
    private final GroupController controller;
    private final ConfigLoop config;
    private final PeerVersions versions;
    private final BackendPresence presence;
    private volatile GroupSnapshot group = GroupSnapshot.EMPTY;
    private volatile RoutingView routing = RoutingView.of(GroupSnapshot.EMPTY.record(), EffectiveConfig.EMPTY);
    private volatile Supplier<Load> ownLoad = Load::getDefaultInstance;

    Control(
            DaemonSettings settings,
            ProcessId self,
            TimeSource time,
            ControlThread thread,
            PlatformStore store,
            LeaseSettings lease) {
        RandomGenerator random = new SplittableRandom(self.incarnation());
        identity = new PeerIdentity(settings.cluster(), self);
        peerLoops = new MultiThreadIoEventLoopGroup(PEER_EVENT_LOOPS, NioIoHandler.newFactory());
        PeerClient peers = new PeerClient(peerLoops, identity, PeerLimits.DEFAULT, new SharedRandom());
        context = new ControlContext(self, time, random, thread, store, peers);
        MemberProfile profile = new MemberProfile(
                self,
                settings.peerEndpoint(),
                settings.httpEndpoint(),
                settings.region(),
                settings.zone(),
                settings.service());
        controller = new GroupController(profile, lease, new Assigner(), time, random);
        presence = new BackendPresence(time);
        config = new ConfigLoop(context, new ConfigTracker(time), controller::snapshot);
        versions = new PeerVersions(time, controller, config.tracker(), () -> ownLoad.get(), config::fetch);
    }

    /**
     * Returns the loop of the group; started when the daemon can serve.
     *
     * @param onChanged run after the record or the partitions that are being handed over have changed
     */
    GroupLoop groupLoop(String groupName, GroupLoop.HandOver handOver, Runnable onChanged) {
        return new GroupLoop(context, GROUP_KEY_PREFIX + groupName, controller, versions, handOver, snapshot -> {
            GroupSnapshot previous = group;
            group = snapshot;
            boolean recordChanged =
                    snapshot.record().version() != previous.record().version();
            if (recordChanged) {
                onRecordChanged(snapshot);
            }
            if (recordChanged || !snapshot.handingOver().equals(previous.handingOver())) {
                onChanged.run();
            }
        });
    }

    private void onRecordChanged(GroupSnapshot snapshot) {
        routing = RoutingView.of(snapshot.record(), config.tracker().current());
        Set<DaemonId> members = snapshot.record().members().stream()
                .map(member -> member.session().daemon())
                .collect(Collectors.toSet());
        versions.retainMembers(members);
    }

    /** Takes over a changed configuration. */
    void onConfig(EffectiveConfig effective) {
        controller.onConfig(effective);
        routing = RoutingView.of(group.record(), effective);
    }

    /** Tells the controller whether the backend server is there; called regularly. */
    void checkBackend() {
        controller.onBackendAvailable(presence.isAvailable());
    }

    void reportLoad(Supplier<Load> load) {
        ownLoad = load;
    }

    ControlContext context() {
        return context;
    }

    EventLoopGroup peerLoops() {
        return peerLoops;
    }

    PeerIdentity identity() {
        return identity;
    }

    GroupController controller() {
        return controller;
    }

    ConfigLoop config() {
        return config;
    }

    PeerVersions versions() {
        return versions;
    }

    BackendPresence presence() {
        return presence;
    }

    GroupSnapshot group() {
        return group;
    }

    RoutingView routing() {
        return routing;
    }

    @Override
    public void close() {
        context.peers().close();
        peerLoops.shutdownGracefully();
    }

    /** Jitter for event loops, which share no generator. */
    private static final class SharedRandom implements RandomGenerator {
        @Override
        public long nextLong() {
            return ThreadLocalRandom.current().nextLong();
        }
    }
}
