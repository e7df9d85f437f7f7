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
 * Asks the daemons that may have held a shard before whether loans from it still count; if not, the shard need not stay
 * restricted. Without this, no customer would have its whole quota while a fleet starts and after an outage of the store.
 *
 * <p>Invariant: a restriction ends early only if all daemons asked have replied, none of them has loans that count, and they
 * agree on which daemon would hold the shard otherwise. The daemons that held a shard before its holder joined are those that
 * come next in the order of that shard. Confined to one thread.
 */
public final class ShardTakeoverCheck {
    /** Number of daemons asked about each shard. */
    private static final int ASKED_DAEMONS = 8;

    private static final long RETRY_NANOS = Duration.ofMillis(500).toNanos();

    private final DaemonId self;
    private final TimeSource time;
    private final ShardOwnership tenure;
    private final Map<Integer, Round> rounds = new HashMap<>();

    /**
     * Question to one daemon. Immutable.
     *
     * @param daemon the daemon
     * @param nextOwners shards that the sender holds, with the daemon that would hold each of them otherwise
     */
    public record Claim(DaemonId daemon, Map<Integer, DaemonId> nextOwners) {
        public Claim {
            nextOwners = Map.copyOf(nextOwners);
        }
    }

    private record Round(QuotaShards shards, long startedNanos, Set<DaemonId> unanswered) {}

    /** Creates the claims of a daemon. */
    public ShardTakeoverCheck(DaemonId self, TimeSource time, ShardOwnership tenure) {
        this.self = self;
        this.time = time;
        this.tenure = tenure;
    }

    /** Returns the questions to send now. */
    public List<Claim> next(QuotaShards shards) {
        long now = time.monotonicNanos();
        Set<Integer> claimable = new HashSet<>(tenure.claimableShards());
        rounds.keySet().retainAll(claimable);
        Map<DaemonId, Map<Integer, DaemonId>> questions = new LinkedHashMap<>();
        for (int shard : claimable) {
            Round known = rounds.get(shard);
            if (known != null && known.shards() == shards && now - known.startedNanos() < RETRY_NANOS) {
                continue;
            }
            List<DaemonId> others = shards.nextOwners(shard, self, ASKED_DAEMONS);
            rounds.put(shard, new Round(shards, now, new HashSet<>(others)));
            others.forEach(daemon ->
                    questions.computeIfAbsent(daemon, any -> new HashMap<>()).put(shard, others.get(0)));
            if (others.isEmpty()) {
                tenure.endRestriction(shard);
            }
        }
        List<Claim> claims = new ArrayList<>();
        questions.forEach((daemon, asked) -> claims.add(new Claim(daemon, asked)));
        return claims;
    }

    /** Handles that certainly no loans of a daemon from a shard count. */
    public void onUnused(DaemonId daemon, int shard) {
        Round round = rounds.get(shard);
        if (round == null) {
            return;
        }
        boolean last = round.unanswered().remove(daemon) && round.unanswered().isEmpty();
        if (last) {
            tenure.endRestriction(shard);
        }
    }
}
