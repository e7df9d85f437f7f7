package io.daisyhoist.cli.client;

import java.util.Optional;

/**
 * Owner of a key as reported by a daemon's admin port. Immutable.
 *
 * @param service service of the key
 * @param key the key
 * @param partition partition that contains the key
 * @param owner daemon or session that owns the partition, empty if it has no owner
 * @param epoch epoch of the grant
 * @param http client address of the owner's daemon
 */
public record OwnerReport(
        String service, String key, int partition, Optional<String> owner, long epoch, Optional<String> http) {
    /** Replaces absent values by empty ones. */
    public OwnerReport {
        owner = owner == null ? Optional.empty() : owner;
        http = http == null ? Optional.empty() : http;
    }
}
