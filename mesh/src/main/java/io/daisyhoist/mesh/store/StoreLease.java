package io.daisyhoist.mesh.store;

import java.time.Duration;

/**
 * Lease in the store. Immutable.
 *
 * @param id id of the lease
 * @param ttl time from the arrival of the last renewal to expiry
 */
public record StoreLease(long id, Duration ttl) {}
