package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.keyrange.RangeMove;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.version.FleetSnapshot;

/**
 * Exchanges control state with other daemons: the load of their keys, upcoming key moves, and operator items, which thus
 * reach daemons whose calls the store refuses.
 *
 * <p>Invariants: operator items are accepted from a peer only if they are newer than the local copy; each report is sent to
 * a number of daemons that does not depend on the size of the fleet or of the service.
 * Confined to the control thread.
 */
final class FleetGossip implements RangeAssigner.PeerLoadExchange {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** An announced move usually completes in this time: a heartbeat of the source and the end of its requests. */
    private static final Duration ANNOUNCED_MOVE_DURATION = Duration.ofMillis(2_500);

    /** Randomly chosen neighbours that receive each report. */
    private static final int FANOUT = 2;

    /** Bounds the messages of a daemon in a large service, whose daemons receive its reports in turn. */
    private static final int MAX_SERVICE_RECEIVERS = 8;

    /** Several turns of a service of a few dozen daemons, so that a lost report does not remove the load of a peer. */
    private static final Duration LOAD_VALIDITY = Duration.ofSeconds(6);

    private final DaemonId self;
    private final TimeSource time;
    private final SplittableRandom random;
    private final StoreCache operatorCache;
    private final Supplier<FleetSnapshot> fleet;
    private final Supplier<PeerMessages.LoadReport> localReport;
    private final FleetControl.PeerSender sender;
    private final Map<DaemonId, PeerLoad> peerLoads = new HashMap<>();
    private long moveAnnouncedUntilNanos;
    private int turn;

    private record PeerLoad(double busySlots, ElapsedTimer receivedAt) {}

    FleetGossip(
            DaemonId self,
            TimeSource time,
            long seed,
            StoreCache operatorCache,
            Supplier<FleetSnapshot> fleet,
            Supplier<PeerMessages.LoadReport> localReport,
            FleetControl.PeerSender sender) {
        this.self = self;
        this.time = time;
        this.random = new SplittableRandom(seed);
        this.operatorCache = operatorCache;
        this.fleet = fleet;
        this.localReport = localReport;
        this.sender = sender;
        this.moveAnnouncedUntilNanos = time.monotonicNanos();
    }

    /** Sends a load report to two neighbours and to some of the daemons that match the predicate, all of them in turn. */
    void report(Predicate<FleetMember> sameService) {
        peerLoads.values().removeIf(load -> !isRecent(load));
        List<FleetMember> members = fleet.get().members().values().stream()
                .sorted(Comparator.comparing(FleetMember::daemon))
                .toList();
        List<FleetMember> receivers = new ArrayList<>(inTurn(members.stream()
                .filter(member -> !member.daemon().equals(self))
                .filter(sameService)
                .toList()));
        List<FleetMember> neighbours = neighbours(members);
        for (int i = 0; i < FANOUT && !neighbours.isEmpty(); i++) {
            receivers.add(neighbours.get(random.nextInt(neighbours.size())));
        }
        sendLoad(receivers.stream().distinct().toList());
    }

    private List<FleetMember> inTurn(List<FleetMember> serviceMembers) {
        int count = Math.min(MAX_SERVICE_RECEIVERS, serviceMembers.size());
        List<FleetMember> receivers = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            receivers.add(serviceMembers.get(Math.floorMod(turn++, serviceMembers.size())));
        }
        return receivers;
    }

    /**
     * Returns the daemons at distances 1, 2, 4, ... in the ring of all members. Reports reach the whole fleet in a few
     * steps, over a number of connections for each daemon that grows with the logarithm of the fleet only.
     */
    private List<FleetMember> neighbours(List<FleetMember> ring) {
        int position = 0;
        while (position < ring.size() && ring.get(position).daemon().compareTo(self) < 0) {
            position++;
        }
        List<FleetMember> neighbours = new ArrayList<>();
        for (int distance = 1; distance < ring.size(); distance *= 2) {
            FleetMember neighbour = ring.get((position + distance) % ring.size());
            if (!neighbour.daemon().equals(self)) {
                neighbours.add(neighbour);
            }
        }
        return neighbours;
    }

    /** Handles a load report of another daemon. */
    void onLoad(PeerMessages.LoadReport load) {
        peerLoads.put(load.daemon(), new PeerLoad(load.keyBusySlots(), ElapsedTimer.start(time)));
        if (load.moveAnnounced()) {
            moveAnnouncedUntilNanos = time.monotonicNanos() + ANNOUNCED_MOVE_DURATION.toNanos();
        }
        synchronizeOperatorItems(load.daemon(), load.operatorRevision());
    }

    /** The daemon with newer operator items sends them; the other one replies with its own revision. */
    private void synchronizeOperatorItems(DaemonId from, long peerRevision) {
        long localRevision = operatorCache.lastChangeRevision();
        List<FleetMember> receiver =
                Optional.ofNullable(fleet.get().members().get(from)).stream().toList();
        if (peerRevision > localRevision) {
            sendLoad(receiver);
        } else if (peerRevision < localRevision) {
            sender.send(receiver, PeerMessages.operatorItems(operatorCache.items(), operatorCache.asOf()));
        }
    }

    /** Handles operator items that another daemon has read from the store. */
    void onOperatorItems(PeerMessages.OperatorListing listing) {
        if (listing.asOf() > operatorCache.asOf()) {
            LOGGER.atInfo().log(
                    "event=operator_items_from_peer as_of=%d known_as_of=%d", listing.asOf(), operatorCache.asOf());
            operatorCache.applyListing(listing.items(), listing.asOf());
        }
    }

    /** Returns whether another daemon has announced that it will move keys to the local backend server. */
    boolean isKeyMoveAnnounced() {
        return moveAnnouncedUntilNanos - time.monotonicNanos() > 0;
    }

    private void sendLoad(List<FleetMember> receivers) {
        sender.send(receivers, PeerMessages.loadReport(localReport.get()));
    }

    @Override
    public Map<DaemonId, Double> busySlots() {
        Map<DaemonId, Double> recent = new HashMap<>();
        peerLoads.forEach((daemon, load) -> {
            if (isRecent(load)) {
                recent.put(daemon, load.busySlots());
            }
        });
        return recent;
    }

    private boolean isRecent(PeerLoad load) {
        return load.receivedAt().elapsed(time).compareTo(LOAD_VALIDITY) < 0;
    }

    @Override
    public void announceMoves(List<RangeMove> moves) {
        List<FleetMember> receivers = moves.stream()
                .map(RangeMove::daemon)
                .distinct()
                .flatMap(daemon -> Optional.ofNullable(fleet.get().members().get(daemon)).stream())
                .toList();
        sender.send(receivers, PeerMessages.loadReport(localReport.get().announcingMove()));
    }
}
