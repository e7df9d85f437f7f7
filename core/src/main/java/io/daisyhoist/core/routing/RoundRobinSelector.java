package io.daisyhoist.core.routing;

import java.util.List;
import java.util.Optional;

/** Selects in turn; a baseline for benchmarks. Confined to one thread. */
public final class RoundRobinSelector implements BackendSelector {
    private int next;

    @Override
    public Optional<BackendCandidate> select(List<BackendCandidate> candidates) {
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(Math.floorMod(next++, candidates.size())));
    }
}
