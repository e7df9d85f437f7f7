package io.daisyhoist.mesh.process;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.mesh.store.Decoded;
import io.daisyhoist.mesh.store.StoreEra;
import io.daisyhoist.mesh.store.StoredItem;

/**
 * Items that say how far the assignment table of a service has been restored in an era of the store.
 *
 * <p>The first write of the table in an era creates the item; each write requires that the item of the next era does not
 * exist. So a write of an earlier era, which the store applies late, fails even if its revision has been issued again.
 * Confined to the control thread.
 */
final class EraMarkers {
    static final String PREFIX = "daisyhoist/eras/";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Map<String, StoredMarker> markers = new HashMap<>();

    /**
     * Progress of one service in one era. Immutable.
     *
     * @param settled whether the time is over in which holders add the assignments that the store has lost
     * @param lastEarlierFence fencing token above all tokens of earlier eras
     */
    record Marker(boolean settled, long lastEarlierFence) {}

    /**
     * Marker with its revision in the store.
     *
     * @param marker marker
     * @param revision store revision
     */
    record StoredMarker(Marker marker, long revision) {}

    static String key(ServiceName service, long era) {
        return PREFIX + service + "/" + era;
    }

    /** Handles a changed item. */
    void onItem(StoredItem item) {
        Decoded<Marker> decoded = FleetJson.read(item.value(), Marker.class);
        if (decoded instanceof Decoded.Valid<Marker> valid) {
            put(item.key(), valid.value(), item.revision());
        } else {
            LOGGER.atWarning().log("event=store_item_ignored key=%s revision=%d", item.key(), item.revision());
        }
    }

    /** Records a marker that has been read or written. */
    void put(String key, Marker marker, long revision) {
        StoredMarker known = markers.get(key);
        if (known == null || known.revision() < revision) {
            markers.put(key, new StoredMarker(marker, revision));
        }
    }

    /** Handles the deletion of an item. */
    void onDeleted(String key) {
        markers.remove(key);
    }

    /** Returns the marker of a service in an era. */
    Optional<StoredMarker> find(ServiceName service, StoreEra era) {
        return Optional.ofNullable(markers.get(key(service, era.number())));
    }
}
