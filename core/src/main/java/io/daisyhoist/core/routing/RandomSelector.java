package io.daisyhoist.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Selects uniformly at random; a baseline for benchmarks. Confined to one thread. */
public final class RandomSelector implements BackendSelector {
    private final RandomGenerator random;

    public RandomSelector(RandomGenerator random) {
        this.random = random;
    }

    @Override
    public Optional<BackendCandidate> select(List<BackendCandidate> candidates) {
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }
}
