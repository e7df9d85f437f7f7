package io.daisyhoist.core.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.ProcessId;

/**
 * Chooses the witnesses of a member.
 *
 * <p>Witnesses are in different zones where possible and the member's own zone comes last, so that the loss of one zone
 * leaves a majority. In a group of exactly three the member is its own witness, so that the loss of one other member
 * leaves a majority. Stateless.
 */
public final class WitnessSelector {
    private WitnessSelector() {}

    /**
     * A process that may be a witness. Immutable.
     *
     * @param process the process
     * @param zone its availability zone
     */
    public record Candidate(ProcessId process, AvailabilityZone zone) {}

    /**
     * Chooses witnesses.
     *
     * @param member the member that needs witnesses
     * @param others other members
     * @param kept processes to prefer where zones are equal, usually the present witnesses
     * @param avoided processes to take only when there are not enough others
     * @param count number of witnesses wanted
     * @return the witnesses, empty when the group has fewer than three members
     */
    public static List<ProcessId> select(
            Candidate member, List<Candidate> others, Set<ProcessId> kept, Set<ProcessId> avoided, int count) {
        if (others.size() < 2) {
            return List.of();
        }
        if (others.size() == 2) {
            return List.of(
                    member.process(), others.get(0).process(), others.get(1).process());
        }
        int wanted = Math.min(count, others.size() % 2 == 0 ? others.size() - 1 : others.size());
        return pick(member, others, kept, avoided, wanted);
    }

    private static List<ProcessId> pick(
            Candidate member, List<Candidate> others, Set<ProcessId> kept, Set<ProcessId> avoided, int wanted) {
        List<Candidate> remaining = new ArrayList<>(others);
        List<ProcessId> chosen = new ArrayList<>();
        Set<AvailabilityZone> usedZones = new HashSet<>();
        while (chosen.size() < wanted) {
            Candidate next = remaining.stream()
                    .min(order(member, usedZones, kept, avoided))
                    .orElseThrow();
            remaining.remove(next);
            chosen.add(next.process());
            usedZones.add(next.zone());
        }
        return List.copyOf(chosen);
    }

    private static Comparator<Candidate> order(
            Candidate member, Set<AvailabilityZone> usedZones, Set<ProcessId> kept, Set<ProcessId> avoided) {
        return Comparator.comparing((Candidate candidate) -> avoided.contains(candidate.process()))
                .thenComparing(candidate -> usedZones.contains(candidate.zone()))
                .thenComparing(candidate -> candidate.zone().equals(member.zone()))
                .thenComparing(candidate -> !kept.contains(candidate.process()))
                .thenComparing(candidate -> spread(member, candidate));
    }

    /** Orders equal candidates differently for each member, so that no process is a witness of everyone. */
    private static long spread(Candidate member, Candidate candidate) {
        long mixed = member.process().daemon().hashCode() * 31L
                + candidate.process().daemon().hashCode();
        mixed = (mixed ^ (mixed >>> 15)) * 0x9E3779B97F4A7C15L;
        return mixed ^ (mixed >>> 29);
    }
}
