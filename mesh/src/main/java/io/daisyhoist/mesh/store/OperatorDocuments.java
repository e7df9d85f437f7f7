package io.daisyhoist.mesh.store;

import java.util.Optional;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.route.FleetConfig;

/** Decodes the items that operators write to the store. Implementations are stateless. */
public interface OperatorDocuments {
    /** Content of an operator item. */
    sealed interface Document {}

    /**
     * Fleet configuration.
     *
     * @param config parsed configuration
     */
    record Configuration(FleetConfig config) implements Document {}

    /**
     * Availability zone that gets no new requests while the item exists.
     *
     * @param zone availability zone
     */
    record EvacuatedZone(AvailabilityZone zone) implements Document {}

    /** Returns the key prefix of operator items. */
    String prefix();

    /** Decodes an item; rejected if it is malformed or not relevant. */
    Decoded<Document> read(StoredItem item);

    /**
     * Returns an item in which API keys are replaced by their hashes, as it is kept and passed on to other daemons; the item
     * itself if it has no keys. {@link #read} decodes both alike.
     */
    default StoredItem withHashedKeys(StoredItem item) {
        return item;
    }

    /** Returns the availability zone that an evacuation key names; empty for other keys and for invalid names. */
    Optional<AvailabilityZone> evacuatedZone(String key);
}
