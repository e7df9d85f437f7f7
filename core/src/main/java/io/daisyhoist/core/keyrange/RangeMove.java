package io.daisyhoist.core.keyrange;

import io.daisyhoist.core.fleet.BackendLife;
import io.daisyhoist.core.model.DaemonId;

/**
 * A planned change of holder. Immutable.
 *
 * @param range the keys
 * @param daemon daemon beside the next holder
 * @param life process of the next holder
 */
public record RangeMove(KeyRange range, DaemonId daemon, BackendLife life) {}
