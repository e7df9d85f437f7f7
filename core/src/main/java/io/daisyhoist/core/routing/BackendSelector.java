package io.daisyhoist.core.routing;

import java.util.List;
import java.util.Optional;

/** Selects the backend server for a request without a key. Implementations are confined to one thread. */
public interface BackendSelector {
    /** Selects one of the candidates; empty if there are none. */
    Optional<BackendCandidate> select(List<BackendCandidate> candidates);
}
