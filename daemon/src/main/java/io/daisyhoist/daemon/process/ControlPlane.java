package io.daisyhoist.daemon.process;

import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import io.daisyhoist.core.assignment.LeastLoadedPlacement;
import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.lease.LeaseSettings;
import io.daisyhoist.core.membership.GroupController;
import io.daisyhoist.core.membership.GroupSnapshot;
import io.daisyhoist.core.membership.MemberProfile;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.routing.RoutingSnapshot;
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
 * Control plane of a daemon: membership, leases and configuration.
 *
 * <p>Its state is confined to the control thread, except for the immutable snapshots that {@link #group()} and {@link
 * #routing()} return, which any thread may read.
 */
final class ControlPlane implements AutoCloseable {
    /** Peer messages are small, so one event loop each for accepted and opened connections is enough. */
    private static final int PEER_EVENT_LOOPS = 2;

    private static final String GROUP_KEY_PREFIX = "daisyhoist/groups/";

    private final ControlContext context;
    private final EventLoopGroup peerLoops;
    private final PeerIdentity identity;
    private final GroupController controller;
    private final ConfigLoop configLoop;
    private final PeerStateTracker peerState;
    private final BackendPresence presence;
    private volatile GroupSnapshot group = GroupSnapshot.EMPTY;
    private volatile RoutingSnapshot routing = RoutingSnapshot.of(GroupSnapshot.EMPTY.record(), EffectiveConfig.EMPTY);
    private volatile Supplier<Load> ownLoad = Load::getDefaultInstance;

    ControlPlane(
            DaemonSettings settings,
            ProcessId self,
            TimeSource time,
            ControlThread controlThread,
            PlatformStore store,
            LeaseSettings lease) {
        RandomGenerator random = new SplittableRandom(self.incarnation());
        identity = new PeerIdentity(settings.cluster(), self);
        peerLoops = new MultiThreadIoEventLoopGroup(PEER_EVENT_LOOPS, NioIoHandler.newFactory());
        PeerClient peers = new PeerClient(peerLoops, identity, PeerLimits.DEFAULT, new ThreadLocalRandomGenerator());
        context = new ControlContext(self, time, random, controlThread, store, peers);
        MemberProfile profile = new MemberProfile(
                self,
                settings.peerEndpoint(),
                settings.httpEndpoint(),
                settings.region(),
                settings.zone(),
                settings.service());
        controller = new GroupController(profile, lease, new LeastLoadedPlacement(), time, random);
        presence = new BackendPresence(time);
        configLoop = new ConfigLoop(context, new ConfigTracker(time), controller::snapshot);
        peerState =
                new PeerStateTracker(time, controller, configLoop.tracker(), () -> ownLoad.get(), configLoop::fetch);
    }

    /**
     * Creates the control loop of the group; it is started once the daemon can serve requests.
     *
     * @param onChanged called after the group record or the set of partitions being handed over has changed
     */
    GroupLoop newGroupLoop(String groupName, GroupLoop.HandOver handOver, Runnable onChanged) {
        return new GroupLoop(context, GROUP_KEY_PREFIX + groupName, controller, peerState, handOver, snapshot -> {
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
        routing = RoutingSnapshot.of(snapshot.record(), configLoop.tracker().current());
        Set<DaemonId> members = snapshot.record().members().stream()
                .map(member -> member.session().daemon())
                .collect(Collectors.toSet());
        peerState.retainMembers(members);
    }

    /** Applies a changed configuration to the controller and to the routing snapshot. */
    void onConfig(EffectiveConfig effective) {
        controller.onConfig(effective);
        routing = RoutingSnapshot.of(group.record(), effective);
    }

    /** Reports the availability of the local backend server to the controller; called periodically. */
    void checkBackend() {
        controller.onBackendAvailable(presence.isAvailable());
    }

    void setLoadSource(Supplier<Load> load) {
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
        return configLoop;
    }

    PeerStateTracker peerState() {
        return peerState;
    }

    BackendPresence presence() {
        return presence;
    }

    GroupSnapshot group() {
        return group;
    }

    RoutingSnapshot routing() {
        return routing;
    }

    @Override
    public void close() {
        context.peers().close();
        peerLoops.shutdownGracefully();
    }

    /** Thread-safe source of jitter, because several event loops of the peer client draw from it. */
    private static final class ThreadLocalRandomGenerator implements RandomGenerator {
        @Override
        public long nextLong() {
            return ThreadLocalRandom.current().nextLong();
        }
    }
}
