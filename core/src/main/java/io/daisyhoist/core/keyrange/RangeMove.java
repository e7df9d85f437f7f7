package io.daisyhoist.core.keyrange;

import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.model.DaemonId;

/**
 * Planned move of a key range to another backend server. Immutable.
 *
 * @param range the keys to move
 * @param daemon daemon of the target backend server
 * @param process process of the target backend server
 */
public record RangeMove(KeyRange range, DaemonId daemon, BackendProcessId process) {}
