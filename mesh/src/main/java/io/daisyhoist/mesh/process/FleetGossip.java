package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.keyrange.RangeMove;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.daisyhoist.wire.proto.FleetLoad;
import io.daisyhoist.wire.proto.OperatorItems;

/**
 * What daemons tell each other about control state: the load of their keys, keys that are about to move, and operators'
 * changes, which so reach daemons that the store turns away.
 *
 * <p>Invariants: an operators' change is taken from a peer only if it is newer than what is known; each report goes to a
 * number of daemons that does not depend on the size of the fleet, besides those that share keys with this one. Confined to
 * the control thread.
 */
final class FleetGossip implements RangeKeeper.PeerLoadView {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Time in which announced keys are usually assigned: a heartbeat of the giver and the end of its requests. */
    private static final Duration KEYS_FOLLOW = Duration.ofMillis(2_500);

    /** Daemons that hear of operators' changes from this one in each interval, whatever the size of the fleet. */
    private static final int FANOUT = 2;

    /** Several report intervals, so that a lost report does not hide a holder. */
    private static final Duration LOAD_VALIDITY = Duration.ofSeconds(3);

    private final DaemonId self;
    private final TimeSource time;
    private final SplittableRandom random;
    private final StoreFeed operatorFeed;
    private final Supplier<FleetSnapshot> fleet;
    private final DoubleSupplier ownKeyLoad;
    private final FleetControl.PeerSender sender;
    private final Map<DaemonId, PeerLoad> peerLoads = new HashMap<>();
    private long keysFollowUntilNanos;

    private record PeerLoad(double busySlots, ElapsedTimer heardAt) {}

    FleetGossip(
            DaemonId self,
            TimeSource time,
            long seed,
            StoreFeed operatorFeed,
            Supplier<FleetSnapshot> fleet,
            DoubleSupplier ownKeyLoad,
            FleetControl.PeerSender sender) {
        this.self = self;
        this.time = time;
        this.random = new SplittableRandom(seed);
        this.operatorFeed = operatorFeed;
        this.fleet = fleet;
        this.ownKeyLoad = ownKeyLoad;
        this.sender = sender;
        this.keysFollowUntilNanos = time.monotonicNanos();
    }

    /** Reports to a few daemons at random and to those that the predicate names. */
    void report(Predicate<FleetMember> always) {
        List<FleetMember> others = fleet.get().members().values().stream()
                .filter(member -> !member.daemon().equals(self))
                .toList();
        List<FleetMember> receivers =
                new ArrayList<>(others.stream().filter(always).toList());
        for (int i = 0; i < FANOUT && !others.isEmpty(); i++) {
            receivers.add(others.get(random.nextInt(others.size())));
        }
        sendLoad(receivers.stream().distinct().toList(), false);
    }

    /** Takes a report of another daemon. */
    void onLoad(FleetLoad load) {
        DaemonId from = new DaemonId(load.getDaemon());
        peerLoads.put(from, new PeerLoad(load.getKeyBusySlots(), ElapsedTimer.start(time)));
        if (load.getKeysFollow()) {
            keysFollowUntilNanos = time.monotonicNanos() + KEYS_FOLLOW.toNanos();
        }
        compareOperatorRevisions(from, load.getOperatorRevision());
    }

    /** The daemon that knows more sends it; the one that knows less says so. */
    private void compareOperatorRevisions(DaemonId from, long theirs) {
        long ours = operatorFeed.lastChange();
        List<FleetMember> receiver =
                Optional.ofNullable(fleet.get().members().get(from)).stream().toList();
        if (theirs > ours) {
            sendLoad(receiver, false);
        } else if (theirs < ours) {
            sender.send(receiver, PeerMessages.operatorItems(operatorFeed.items(), operatorFeed.asOf()));
        }
    }

    /** Takes operators' items that another daemon has read. */
    void onOperatorItems(OperatorItems items) {
        if (items.getAsOf() > operatorFeed.asOf()) {
            LOGGER.atInfo().log(
                    "event=operator_items_from_peer as_of=%d known_as_of=%d", items.getAsOf(), operatorFeed.asOf());
            operatorFeed.applyCopy(PeerMessages.storedItems(items), items.getAsOf());
        }
    }

    /** Returns whether another daemon is about to give keys to this one's backend server. */
    boolean keysWereAnnounced() {
        return keysFollowUntilNanos - time.monotonicNanos() > 0;
    }

    private void sendLoad(List<FleetMember> receivers, boolean keysFollow) {
        sender.send(
                receivers, PeerMessages.load(self, ownKeyLoad.getAsDouble(), keysFollow, operatorFeed.lastChange()));
    }

    @Override
    public Map<DaemonId, Double> busySlots() {
        Map<DaemonId, Double> recent = new HashMap<>();
        peerLoads.forEach((daemon, load) -> {
            if (load.heardAt().elapsed(time).compareTo(LOAD_VALIDITY) < 0) {
                recent.put(daemon, load.busySlots());
            }
        });
        return recent;
    }

    @Override
    public void announceMoves(List<RangeMove> moves) {
        List<FleetMember> receivers = moves.stream()
                .map(RangeMove::daemon)
                .distinct()
                .flatMap(daemon -> Optional.ofNullable(fleet.get().members().get(daemon)).stream())
                .toList();
        sendLoad(receivers, true);
    }
}
