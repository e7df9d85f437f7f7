package io.daisyhoist.testkit.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;

/**
 * In-memory key-value store with compare-and-swap by revision.
 *
 * <p>Invariant: every change takes the next value of one counter, so the revisions of a key increase strictly and are
 * never reused, even after a delete. Thread-safe; change listeners run on the thread that makes the change.
 */
public final class KeyValueTable {
    /** Revision of an absent key. */
    public static final long ABSENT = 0;

    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, List<Runnable>> listeners = new HashMap<>();
    private long lastRevision;

    /**
     * Value of a key with its revision.
     *
     * @param value the bytes
     * @param revision counter value of the change that wrote it
     */
    public record Entry(Buffer value, long revision) {}

    /** Finds the value of a key. */
    public synchronized Optional<Entry> get(String key) {
        return Optional.ofNullable(entries.get(key));
    }

    /** Returns the revision of a key, {@link #ABSENT} if it has no value. */
    public synchronized long revision(String key) {
        return get(key).map(Entry::revision).orElse(ABSENT);
    }

    /** Writes a value if the key has the expected revision; returns the new revision, or empty on a conflict. */
    public Optional<Long> put(String key, long expectedRevision, Buffer value) {
        List<Runnable> listenersToNotify;
        long revision;
        synchronized (this) {
            if (revision(key) != expectedRevision) {
                return Optional.empty();
            }
            revision = ++lastRevision;
            entries.put(key, new Entry(value, revision));
            listenersToNotify = takeListeners(key);
        }
        listenersToNotify.forEach(Runnable::run);
        return Optional.of(revision);
    }

    /** Deletes a key if it has the expected revision; returns whether it did. */
    public boolean delete(String key, long expectedRevision) {
        List<Runnable> listenersToNotify;
        synchronized (this) {
            if (expectedRevision == ABSENT || revision(key) != expectedRevision) {
                return false;
            }
            lastRevision++;
            entries.remove(key);
            listenersToNotify = takeListeners(key);
        }
        listenersToNotify.forEach(Runnable::run);
        return true;
    }

    /** Registers a listener that is called once, at the next change of the key. */
    public synchronized void onNextChange(String key, Runnable listener) {
        listeners.computeIfAbsent(key, absent -> new ArrayList<>()).add(listener);
    }

    /** Removes a listener that has not been called yet. */
    public synchronized void removeListener(String key, Runnable listener) {
        List<Runnable> keyListeners = listeners.get(key);
        if (keyListeners == null) {
            return;
        }
        keyListeners.remove(listener);
        if (keyListeners.isEmpty()) {
            listeners.remove(key);
        }
    }

    private List<Runnable> takeListeners(String key) {
        return Optional.ofNullable(listeners.remove(key)).orElse(List.of());
    }
}
