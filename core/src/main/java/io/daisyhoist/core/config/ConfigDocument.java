package io.daisyhoist.core.config;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The operators' configuration as stored in the platform's store.
 *
 * <p>Invariants: the version increases by one with each accepted push; the last entry of {@code changes} has that
 * version; the revision of a file is the version that last changed it. Immutable; files are sorted by name.
 *
 * @param version number of accepted pushes, 0 for the empty document
 * @param files files sorted by name
 * @param changes the most recent changes, oldest first, at most {@link #MAX_CHANGES}
 */
public record ConfigDocument(long version, List<ConfigFile> files, List<ConfigChange> changes) {
    /** Number of changes kept, so that a push whose response was lost can determine whether it was accepted. */
    public static final int MAX_CHANGES = 64;

    /** Largest size of the encoded document in bytes: the platform's limit for a value. */
    public static final int MAX_BYTES = 1 << 20;

    /** Key of the document in the platform's store. */
    public static final String STORE_KEY = "daisyhoist/config";

    /** The document before the first push. */
    public static final ConfigDocument EMPTY = new ConfigDocument(0, List.of(), List.of());

    /** Sorts the files, copies the lists and drops the oldest changes beyond the limit. */
    public ConfigDocument {
        files = List.copyOf(files).stream()
                .sorted(Comparator.comparing(ConfigFile::name))
                .toList();
        changes = List.copyOf(changes.subList(Math.max(0, changes.size() - MAX_CHANGES), changes.size()));
    }

    /** Finds a file by name. */
    public Optional<ConfigFile> file(String name) {
        return files.stream().filter(file -> file.name().equals(name)).findFirst();
    }

    /** Finds the change made by a push, if it is still kept. */
    public Optional<ConfigChange> change(String pushId) {
        return changes.stream().filter(change -> change.pushId().equals(pushId)).findFirst();
    }

    /** Returns whether all changes after the given version are still kept. */
    public boolean hasHistorySince(long earlierVersion) {
        return earlierVersion >= version || version - earlierVersion <= changes.size();
    }
}
