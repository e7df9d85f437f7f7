package io.daisyhoist.mesh.store;

import java.time.Duration;

/**
 * A lease of the store. Immutable.
 *
 * @param id its number
 * @param ttl time after the arrival of the last renewal at which it ends
 */
public record StoreLease(long id, Duration ttl) {}
