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
    private final Map<Rank, TreeSet<QueueEntry>> byRank = new EnumMap<>(Rank.class);
    private int size;

    AdmissionQueue(int bound) {
        this.bound = bound;
        for (Rank rank : Rank.values()) {
            byRank.put(rank, new TreeSet<>(EARLIEST_DEADLINE_FIRST));
        }
    }

    /** Changes the bound; tickets that are already queued stay. */
    void setBound(int newBound) {
        bound = newBound;
    }

    int size() {
        return size;
    }

    boolean isFull() {
        return size >= bound;
    }

    void add(QueueEntry ticket) {
        byRank.get(ticket.rank()).add(ticket);
        size++;
    }

    void remove(QueueEntry ticket) {
        if (byRank.get(ticket.rank()).remove(ticket)) {
            size--;
        }
    }

    Optional<QueueEntry> peek() {
        for (TreeSet<QueueEntry> tickets : byRank.values()) {
            if (!tickets.isEmpty()) {
                return Optional.of(tickets.first());
            }
        }
        return Optional.empty();
    }

    QueueEntry poll() {
        QueueEntry ticket = peek().orElseThrow();
        remove(ticket);
        return ticket;
    }

    boolean hasTicketAtOrAbove(Rank rank) {
        return countAtOrAbove(rank) > 0;
    }

    int countAtOrAbove(Rank rank) {
        int ticketCount = 0;
        for (Rank other : Rank.values()) {
            ticketCount += rank.isAbove(other) ? 0 : byRank.get(other).size();
        }
        return ticketCount;
    }

    /** Removes the ticket with the latest deadline of the lowest rank, if that rank is below the given one. */
    Optional<QueueEntry> removeLatestBelow(Rank rank) {
        Rank[] ranks = Rank.values();
        for (int i = ranks.length - 1; i > rank.ordinal(); i--) {
            TreeSet<QueueEntry> tickets = byRank.get(ranks[i]);
            if (!tickets.isEmpty()) {
                size--;
                return Optional.of(tickets.pollLast());
            }
        }
        return Optional.empty();
    }

    List<QueueEntry> removeExpired(long nowNanos) {
        if (size == 0) {
            return List.of();
        }
        List<QueueEntry> expired = new ArrayList<>();
        for (TreeSet<QueueEntry> tickets : byRank.values()) {
            tickets.stream()
                    .filter(ticket -> ticket.deadlineNanos() - nowNanos <= 0)
                    .forEach(expired::add);
        }
        expired.forEach(this::remove);
        return expired;
    }

    List<QueueEntry> removeAll() {
        List<QueueEntry> all = new ArrayList<>();
        byRank.values().forEach(tickets -> {
            all.addAll(tickets);
            tickets.clear();
        });
        size = 0;
        return all;
    }
}
