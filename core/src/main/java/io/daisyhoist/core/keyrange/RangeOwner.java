package io.daisyhoist.core.keyrange;

import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.model.DaemonId;

/**
 * Backend server to which keys can be assigned. Immutable.
 *
 * @param daemon its daemon
 * @param process its process
 */
public record RangeOwner(DaemonId daemon, BackendProcessId process) {}
