package org.heathercourse.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.heathercourse.core.model.Zone;

/**
 * Selects the gateways that own the shared state of a fleet: rates of workspaces and budgets of
 * programs.
 *
 * <p>Load pattern: a large fleet, in which each gateway serves one request in a hundred, of a
 * different workspace and program each time. If every gateway were an owner, nearly every request
 * would query an owner to which its gateway has no link yet, and the links would grow with the
 * square of the fleet. With few owners each gateway reuses few links. Fleets of up to {@link
 * #MIN_RATE_OWNERS} gateways have no other gateways than owners.
 *
 * <p>The ranking of a gateway depends on its VM only, apart from the most processor time, so a
 * gateway that comes or goes replaces one owner at most. Stateless and thread-safe.
 */
final class OwnerSelection {
    /** Minimum number of gateways that own rates; fewer if the fleet is smaller. */
    static final int MIN_RATE_OWNERS = 12;

    /** Minimum number of gateways in a zone that own budgets; fewer if the zone is smaller. */
    static final int MIN_BUDGET_OWNERS_PER_ZONE = 6;

    /** Number of gateways for each owner in a large fleet, which bounds the load of an owner. */
    private static final int GATEWAYS_PER_OWNER = 8;

    /** Fraction of the most processor time of a VM from which on a gateway is preferred. */
    private static final double STRONG_FRACTION = 0.5;

    private static final String RANKING_KEY = "owner";

    /** A gateway with its weight, which is computed once. */
    private record Ranked(Member member, long weight) {}

    private OwnerSelection() {}

    /**
     * Returns the gateways in an order that does not change when others come or go. Those with at
     * least half of the most processor time come first where it is known: each turn and each
     * request with a rate waits for an owner.
     */
    static List<Member> rank(Collection<Member> members) {
        double strongCores =
                members.stream().mapToDouble(Member::processorCores).max().orElse(0)
                        * STRONG_FRACTION;
        return members.stream()
                .map(m -> new Ranked(m, Rendezvous.weight(RANKING_KEY, m.vm().value())))
                .sorted(
                        Comparator.comparing(
                                        (Ranked r) -> r.member().processorCores() < strongCores)
                                .thenComparing(Comparator.comparingLong(Ranked::weight).reversed()))
                .map(Ranked::member)
                .toList();
    }

    /**
     * Returns the gateways of a zone that own budgets.
     *
     * @param ranked ranked gateways of the zone
     */
    static List<Member> budgetOwners(List<Member> ranked) {
        return ranked.subList(0, ownerCount(ranked.size(), MIN_BUDGET_OWNERS_PER_ZONE));
    }

    /**
     * Returns the gateways that own rates. The zones take turns, so that the loss of a zone takes
     * no more owners than its share.
     *
     * @param ranked ranked gateways of all zones
     */
    static List<Member> rateOwners(List<Member> ranked) {
        int count = ownerCount(ranked.size(), MIN_RATE_OWNERS);
        Map<Zone, List<Member>> byZone = new LinkedHashMap<>();
        for (Member member : ranked) {
            byZone.computeIfAbsent(member.zone(), zone -> new ArrayList<>()).add(member);
        }
        List<Iterator<Member>> zones = byZone.values().stream().map(List::iterator).toList();
        List<Member> owners = new ArrayList<>();
        while (owners.size() < count) {
            for (Iterator<Member> zone : zones) {
                if (zone.hasNext() && owners.size() < count) {
                    owners.add(zone.next());
                }
            }
        }
        return owners;
    }

    private static int ownerCount(int gateways, int minimum) {
        return Math.min(gateways, Math.max(minimum, gateways / GATEWAYS_PER_OWNER));
    }
}
