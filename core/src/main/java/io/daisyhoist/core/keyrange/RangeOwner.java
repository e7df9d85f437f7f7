package io.daisyhoist.core.keyrange;

import io.daisyhoist.core.fleet.BackendLife;
import io.daisyhoist.core.model.DaemonId;

/**
 * A backend server that may be given keys. Immutable.
 *
 * @param daemon daemon beside it
 * @param life its process
 */
public record RangeOwner(DaemonId daemon, BackendLife life) {}
