package io.daisyhoist.cli.client;

import java.util.Optional;

/**
 * The owner of one key, as a daemon's admin port reports it. Immutable.
 *
 * @param service service of the key
 * @param key the key
 * @param partition partition that holds the key
 * @param owner daemon or session that owns the partition, empty when nobody does
 * @param epoch epoch of the grant
 * @param http address for clients of the owner's daemon
 */
public record OwnerReport(
        String service, String key, int partition, Optional<String> owner, long epoch, Optional<String> http) {
    /** Reads absent values as empty. */
    public OwnerReport {
        owner = owner == null ? Optional.empty() : owner;
        http = http == null ? Optional.empty() : http;
    }
}
