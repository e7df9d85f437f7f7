package io.daisyhoist.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/** Bounded priority queue ordered by rank, deadline and arrival. Confined to one thread. */
final class AdmissionQueue {
    private static final Comparator<QueueEntry> EARLIEST_DEADLINE_FIRST =
            Comparator.comparingLong(QueueEntry::deadlineNanos).thenComparingLong(QueueEntry::number);

    private int bound;
    private final Map<Rank, TreeSet<QueueEntry>> entriesByRank = new EnumMap<>(Rank.class);
    private int size;

    AdmissionQueue(int bound) {
        this.bound = bound;
        for (Rank rank : Rank.values()) {
            entriesByRank.put(rank, new TreeSet<>(EARLIEST_DEADLINE_FIRST));
        }
    }

    /** Changes the bound; requests that are already queued stay. */
    void setBound(int newBound) {
        bound = newBound;
    }

    int size() {
        return size;
    }

    boolean isFull() {
        return size >= bound;
    }

    void add(QueueEntry entry) {
        entriesByRank.get(entry.rank()).add(entry);
        size++;
    }

    void remove(QueueEntry entry) {
        if (entriesByRank.get(entry.rank()).remove(entry)) {
            size--;
        }
    }

    Optional<QueueEntry> peek() {
        for (TreeSet<QueueEntry> entries : entriesByRank.values()) {
            if (!entries.isEmpty()) {
                return Optional.of(entries.first());
            }
        }
        return Optional.empty();
    }

    QueueEntry poll() {
        QueueEntry entry = peek().orElseThrow();
        remove(entry);
        return entry;
    }

    boolean hasEntryAtOrAbove(Rank rank) {
        return countAtOrAbove(rank) > 0;
    }

    int countAtOrAbove(Rank rank) {
        int count = 0;
        for (Rank other : Rank.values()) {
            count += rank.isAbove(other) ? 0 : entriesByRank.get(other).size();
        }
        return count;
    }

    /** Removes the request with the latest deadline of the lowest rank, if that rank is below the given one. */
    Optional<QueueEntry> removeLatestBelow(Rank rank) {
        Rank[] ranks = Rank.values();
        for (int i = ranks.length - 1; i > rank.ordinal(); i--) {
            TreeSet<QueueEntry> entries = entriesByRank.get(ranks[i]);
            if (!entries.isEmpty()) {
                size--;
                return Optional.of(entries.pollLast());
            }
        }
        return Optional.empty();
    }

    List<QueueEntry> removeExpired(long nowNanos) {
        if (size == 0) {
            return List.of();
        }
        List<QueueEntry> expired = new ArrayList<>();
        for (TreeSet<QueueEntry> entries : entriesByRank.values()) {
            entries.stream()
                    .filter(entry -> entry.deadlineNanos() - nowNanos <= 0)
                    .forEach(expired::add);
        }
        expired.forEach(this::remove);
        return expired;
    }

    List<QueueEntry> removeAll() {
        List<QueueEntry> all = new ArrayList<>();
        entriesByRank.values().forEach(entries -> {
            all.addAll(entries);
            entries.clear();
        });
        size = 0;
        return all;
    }
}
