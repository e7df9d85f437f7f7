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
 * restricted. Without this, no customer would have its quota while a fleet starts.
 *
 * <p>Invariant: a restriction ends early only if all daemons asked have replied, and none of them may have lent from the
 * seat. The daemons that hold a seat before its holder joins are, in most orders of joining, those with the next highest
 * weights; if that many have all been started just now, so has the fleet. Confined to one thread.
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
     * @param seats seats that the sender holds
     */
    public record Claim(DaemonId daemon, List<Integer> seats) {
        public Claim {
            seats = List.copyOf(seats);
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
        Map<DaemonId, List<Integer>> questions = new LinkedHashMap<>();
        for (int seat : claimable) {
            Round known = rounds.get(seat);
            if (known != null && known.seats() == seats && now - known.startedNanos() < RETRY_NANOS) {
                continue;
            }
            List<DaemonId> others = seats.runnersUp(seat, self, ASKED_DAEMONS);
            rounds.put(seat, new Round(seats, now, new HashSet<>(others)));
            others.forEach(daemon ->
                    questions.computeIfAbsent(daemon, any -> new ArrayList<>()).add(seat));
            if (others.isEmpty()) {
                tenure.endRestriction(seat);
            }
        }
        List<Claim> claims = new ArrayList<>();
        questions.forEach((daemon, asked) -> claims.add(new Claim(daemon, asked)));
        return claims;
    }

    /** Handles the reply of a daemon about a seat. */
    public void onReply(DaemonId daemon, int seat, SeatVouch vouch) {
        Round round = rounds.get(seat);
        if (round == null || vouch == SeatVouch.UNKNOWN) {
            return;
        }
        boolean last = round.unanswered().remove(daemon) && round.unanswered().isEmpty();
        if (last) {
            tenure.endRestriction(seat);
        }
    }
}
