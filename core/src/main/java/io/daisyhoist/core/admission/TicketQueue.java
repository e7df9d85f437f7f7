package io.daisyhoist.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/** Bounded priority queue ordered by rank, deadline and arrival. Confined to one thread. */
final class TicketQueue {
    private static final Comparator<Ticket> EARLIEST_DEADLINE_FIRST =
            Comparator.comparingLong(Ticket::deadlineNanos).thenComparingLong(Ticket::number);

    private int bound;
    private final Map<Rank, TreeSet<Ticket>> byRank = new EnumMap<>(Rank.class);
    private int size;

    TicketQueue(int bound) {
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

    void add(Ticket ticket) {
        byRank.get(ticket.rank()).add(ticket);
        size++;
    }

    void remove(Ticket ticket) {
        if (byRank.get(ticket.rank()).remove(ticket)) {
            size--;
        }
    }

    Optional<Ticket> peek() {
        for (TreeSet<Ticket> tickets : byRank.values()) {
            if (!tickets.isEmpty()) {
                return Optional.of(tickets.first());
            }
        }
        return Optional.empty();
    }

    Ticket poll() {
        Ticket ticket = peek().orElseThrow();
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
    Optional<Ticket> removeLatestBelow(Rank rank) {
        Rank[] ranks = Rank.values();
        for (int i = ranks.length - 1; i > rank.ordinal(); i--) {
            TreeSet<Ticket> tickets = byRank.get(ranks[i]);
            if (!tickets.isEmpty()) {
                size--;
                return Optional.of(tickets.pollLast());
            }
        }
        return Optional.empty();
    }

    List<Ticket> removeExpired(long nowNanos) {
        if (size == 0) {
            return List.of();
        }
        List<Ticket> expired = new ArrayList<>();
        for (TreeSet<Ticket> tickets : byRank.values()) {
            tickets.stream()
                    .filter(ticket -> ticket.deadlineNanos() - nowNanos <= 0)
                    .forEach(expired::add);
        }
        expired.forEach(this::remove);
        return expired;
    }

    List<Ticket> removeAll() {
        List<Ticket> all = new ArrayList<>();
        byRank.values().forEach(tickets -> {
            all.addAll(tickets);
            tickets.clear();
        });
        size = 0;
        return all;
    }
}
