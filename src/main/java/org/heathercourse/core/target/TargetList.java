package org.heathercourse.core.target;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.heathercourse.core.model.Zone;

/** Snapshot of the known targets, indexed by service. Immutable and thread-safe. */
public final class TargetList {
    /** A list without targets. */
    public static final TargetList EMPTY = new TargetList(List.of());

    private final Map<String, Target> mById;
    private final Set<Zone> mEvacuatedZones;
    private final Map<String, List<Target>> mUsableByService;

    /**
     * Creates a snapshot.
     *
     * @param targets all targets, including leaving ones
     */
    public TargetList(Collection<Target> targets) {
        this(targets, Set.of());
    }

    private TargetList(Collection<Target> targets, Set<Zone> evacuatedZones) {
        Map<String, Target> byId = new HashMap<>();
        Map<String, List<Target>> byService = new HashMap<>();
        for (Target target : targets) {
            byId.put(target.id(), target);
            if (!target.leaving() && !evacuatedZones.contains(target.zone())) {
                byService.computeIfAbsent(target.service(), s -> new ArrayList<>()).add(target);
            }
        }
        byService.replaceAll((service, list) -> List.copyOf(list));
        mById = Map.copyOf(byId);
        mEvacuatedZones = Set.copyOf(evacuatedZones);
        mUsableByService = Map.copyOf(byService);
    }

    /**
     * Returns this list with further targets that get no new requests.
     *
     * @param isLeaving returns whether the incarnation with a text leaves; see {@link
     *     Target#incarnation}
     */
    public TargetList withLeaving(Predicate<String> isLeaving) {
        boolean changes =
                mById.values().stream()
                        .anyMatch(t -> !t.leaving() && isLeaving.test(t.incarnation()));
        if (!changes) {
            return this;
        }
        return new TargetList(
                mById.values().stream()
                        .map(t -> isLeaving.test(t.incarnation()) ? t.asLeaving() : t)
                        .toList(),
                mEvacuatedZones);
    }

    /**
     * Returns this list with other evacuated zones, whose targets get no new requests.
     *
     * @param zones all evacuated zones
     */
    public TargetList withEvacuated(Set<Zone> zones) {
        return zones.equals(mEvacuatedZones) ? this : new TargetList(mById.values(), zones);
    }

    /** Returns the targets of a service that accept new requests. */
    public List<Target> usableTargets(String service) {
        return mUsableByService.getOrDefault(service, List.of());
    }

    /**
     * Returns what the list tells about one incarnation of a target.
     *
     * @param target the incarnation
     */
    public TargetState state(Target target) {
        Target listed = mById.get(target.id());
        if (listed == null) {
            return TargetState.UNLISTED;
        }
        if (!listed.isSameIncarnation(target)) {
            return listed.startedMillis() > target.startedMillis()
                    ? TargetState.REPLACED
                    : TargetState.UNLISTED;
        }
        if (listed.leaving()) {
            return TargetState.LEAVING;
        }
        return mEvacuatedZones.contains(listed.zone())
                ? TargetState.EVACUATED
                : TargetState.ACCEPTING;
    }

    /** Returns whether this incarnation of a target is listed and accepts new requests. */
    public boolean isUsable(Target target) {
        return state(target).acceptsRequests();
    }

    /** Returns whether this incarnation of a target is listed, leaving or not. */
    public boolean contains(Target target) {
        return state(target).isListed();
    }

    /** Returns the number of targets that accept new requests. */
    public int usableCount() {
        return mUsableByService.values().stream().mapToInt(List::size).sum();
    }

    /** Returns all targets, including leaving ones. */
    public Collection<Target> all() {
        return mById.values();
    }
}
