package io.daisyhoist.core.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.time.TimeSource;

/**
 * Asks the daemons that may have held a seat before whether loans from it still count; if not, the seat need not stay
 * restricted. Without this, no customer would have its whole quota while a fleet starts and after an outage of the store.
 *
 * <p>Invariant: a restriction ends early only if all daemons asked have replied, none of them has loans that count, and they
 * agree on which daemon would hold the seat otherwise. The daemons that held a seat before its holder joined are those that
 * come next in the order of that seat. Confined to one thread.
 */
public final class SeatClaims {
    /** Number of daemons asked about each seat. */
    private static final int ASKED_DAEMONS = 8;

    private static final long RETRY_NANOS = Duration.ofMillis(500).toNanos();

    private final DaemonId self;
    private final TimeSource time;
    private final SeatTenure tenure;
    private final Map<Integer, Round> rounds = new HashMap<>();

    /**
     * Question to one daemon. Immutable.
     *
     * @param daemon the daemon
     * @param runnersUp seats that the sender holds, with the daemon that would hold each of them otherwise
     */
    public record Claim(DaemonId daemon, Map<Integer, DaemonId> runnersUp) {
        public Claim {
            runnersUp = Map.copyOf(runnersUp);
        }
    }

    private record Round(QuotaSeats seats, long startedNanos, Set<DaemonId> unanswered) {}

    /** Creates the claims of a daemon. */
    public SeatClaims(DaemonId self, TimeSource time, SeatTenure tenure) {
        this.self = self;
        this.time = time;
        this.tenure = tenure;
    }

    /** Returns the questions to send now. */
    public List<Claim> next(QuotaSeats seats) {
        long now = time.monotonicNanos();
        Set<Integer> claimable = new HashSet<>(tenure.claimableSeats());
        rounds.keySet().retainAll(claimable);
        Map<DaemonId, Map<Integer, DaemonId>> questions = new LinkedHashMap<>();
        for (int seat : claimable) {
            Round known = rounds.get(seat);
            if (known != null && known.seats() == seats && now - known.startedNanos() < RETRY_NANOS) {
                continue;
            }
            List<DaemonId> others = seats.runnersUp(seat, self, ASKED_DAEMONS);
            rounds.put(seat, new Round(seats, now, new HashSet<>(others)));
            others.forEach(daemon ->
                    questions.computeIfAbsent(daemon, any -> new HashMap<>()).put(seat, others.get(0)));
            if (others.isEmpty()) {
                tenure.endRestriction(seat);
            }
        }
        List<Claim> claims = new ArrayList<>();
        questions.forEach((daemon, asked) -> claims.add(new Claim(daemon, asked)));
        return claims;
    }

    /** Handles that certainly no loans of a daemon from a seat count. */
    public void onUnused(DaemonId daemon, int seat) {
        Round round = rounds.get(seat);
        if (round == null) {
            return;
        }
        boolean last = round.unanswered().remove(daemon) && round.unanswered().isEmpty();
        if (last) {
            tenure.endRestriction(seat);
        }
    }
}
