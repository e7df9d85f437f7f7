package io.daisyhoist.core.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.ProcessId;

/**
 * Selects the witnesses of a member.
 *
 * <p>Witnesses are in different zones if possible, and the member's own zone is used last, so that the loss of one zone
 * leaves a majority. In a group of exactly three members, the member is its own witness, so that the loss of another
 * member leaves a majority. Stateless.
 */
public final class WitnessSelector {
    private WitnessSelector() {}

    /**
     * Process that can be selected as a witness. Immutable.
     *
     * @param process the process
     * @param zone its availability zone
     */
    public record Candidate(ProcessId process, AvailabilityZone zone) {}

    /**
     * Selects witnesses.
     *
     * @param member the member that needs witnesses
     * @param others other members
     * @param preferred processes to prefer if zones are equal, usually the current witnesses
     * @param avoided processes to select only if there are not enough others
     * @param count requested number of witnesses
     * @return the witnesses; empty if the group has fewer than three members
     */
    public static List<ProcessId> select(
            Candidate member, List<Candidate> others, Set<ProcessId> preferred, Set<ProcessId> avoided, int count) {
        if (others.size() < 2) {
            return List.of();
        }
        if (others.size() == 2) {
            return List.of(
                    member.process(), others.get(0).process(), others.get(1).process());
        }
        int selectedCount = Math.min(count, others.size() % 2 == 0 ? others.size() - 1 : others.size());
        return selectCandidates(member, others, preferred, avoided, selectedCount);
    }

    private static List<ProcessId> selectCandidates(
            Candidate member,
            List<Candidate> others,
            Set<ProcessId> preferred,
            Set<ProcessId> avoided,
            int selectedCount) {
        List<Candidate> remaining = new ArrayList<>(others);
        List<ProcessId> selected = new ArrayList<>();
        Set<AvailabilityZone> usedZones = new HashSet<>();
        while (selected.size() < selectedCount) {
            Candidate next = remaining.stream()
                    .min(preferenceOrder(member, usedZones, preferred, avoided))
                    .orElseThrow();
            remaining.remove(next);
            selected.add(next.process());
            usedZones.add(next.zone());
        }
        return List.copyOf(selected);
    }

    private static Comparator<Candidate> preferenceOrder(
            Candidate member, Set<AvailabilityZone> usedZones, Set<ProcessId> preferred, Set<ProcessId> avoided) {
        return Comparator.comparing((Candidate candidate) -> avoided.contains(candidate.process()))
                .thenComparing(candidate -> usedZones.contains(candidate.zone()))
                .thenComparing(candidate -> candidate.zone().equals(member.zone()))
                .thenComparing(candidate -> !preferred.contains(candidate.process()))
                .thenComparing(candidate -> tieBreaker(member, candidate));
    }

    /**
     * Returns a hash that orders equal candidates differently for each member, so that no process becomes a witness of
     * all members.
     */
    private static long tieBreaker(Candidate member, Candidate candidate) {
        long mixed = member.process().daemon().hashCode() * 31L
                + candidate.process().daemon().hashCode();
        mixed = (mixed ^ (mixed >>> 15)) * 0x9E3779B97F4A7C15L;
        return mixed ^ (mixed >>> 29);
    }
}
