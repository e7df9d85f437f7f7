package io.daisyhoist.core.routing;

import java.util.List;
import java.util.Optional;

/** Chooses the backend server for a request without a key. Implementations are confined to one thread. */
public interface BackendSelector {
    /** Returns one of the candidates; empty when there are none. */
    Optional<BackendCandidate> select(List<BackendCandidate> candidates);
}
