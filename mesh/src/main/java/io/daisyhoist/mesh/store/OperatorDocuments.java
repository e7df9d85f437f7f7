package io.daisyhoist.mesh.store;

import java.util.Optional;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.route.FleetConfig;

/** Reads what operators write to the store. Implementations are stateless. */
public interface OperatorDocuments {
    /** What a key means. */
    sealed interface Document {}

    /**
     * The newest configuration.
     *
     * @param config the configuration
     */
    record Configuration(FleetConfig config) implements Document {}

    /**
     * An availability zone that is to get no new work while the key exists.
     *
     * @param zone the availability zone
     */
    record EvacuatedZone(AvailabilityZone zone) implements Document {}

    /** Returns the prefix of all keys that operators write. */
    String prefix();

    /** Returns what an item says; empty when it cannot be read or is of no concern. */
    Optional<Document> read(StoredItem item);

    /** Returns the availability zone whose evacuation a key stands for. */
    Optional<AvailabilityZone> evacuatedZone(String key);
}
