package org.heathercourse.core.target;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.heathercourse.core.model.Zone;
import org.junit.jupiter.api.Test;

/** Guards against needless recomputation of prompts and queueing while other targets are free. */
class TargetSelectorTest {
    private static final Zone HERE = new Zone("here");
    private static final int SLOTS = 16;

    private final Map<String, TargetLoad> mLoads = new HashMap<>();
    private final TargetSelector mSelector = new TargetSelector(HERE, new SplittableRandom(5));

    private static Target target(String id, String zone) {
        return new Target(id, 1, "s", "10.0.0.1", 80, new Zone(zone), SLOTS, false);
    }

    private static final List<Target> TARGETS =
            List.of(
                    target("a", "here"),
                    target("b", "here"),
                    target("c", "there"),
                    target("d", "there"));

    private TargetLoad load(Target target) {
        return mLoads.computeIfAbsent(target.id(), id -> new TargetLoad());
    }

    private Target select(String key, Set<String> excluded) {
        TargetSelector.SelectionContext context =
                new TargetSelector.SelectionContext(key, 1_500, 3, 0);
        return mSelector
                .select(TARGETS, id -> !excluded.contains(id), this::load, context)
                .orElse(null);
    }

    @Test
    void routesProgramToOneTargetInZone() {
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 50; i++) {
            used.add(select("program", Set.of()).id());
        }
        assertThat(used).hasSize(1).isSubsetOf("a", "b");
    }

    /** Guards against attempts that are used up on targets whose processes do not run. */
    @Test
    void selectsNoTargetThatHasEnded() {
        TARGETS.subList(0, 3).forEach(target -> load(target).recordEnd(0, 500));
        assertThat(select("program", Set.of()).id()).isEqualTo("d");
        load(TARGETS.get(3)).recordEnd(0, 500);
        assertThat(select("program", Set.of())).isNull();
        load(TARGETS.get(0)).recordEnd(-500, 500);
        assertThat(select("program", Set.of()).id()).isEqualTo("a");
    }

    @Test
    void gatewaysInZoneSelectSameTarget() {
        TargetSelector other = new TargetSelector(HERE, new SplittableRandom(99));
        for (int i = 0; i < 50; i++) {
            TargetSelector.SelectionContext context =
                    new TargetSelector.SelectionContext("p" + i, 1_500, 3, 0);
            Target otherTarget =
                    other.select(TARGETS, id -> true, t -> new TargetLoad(), context).get();
            assertThat(select("p" + i, Set.of())).isEqualTo(otherTarget);
        }
    }

    @Test
    void spreadsProgramsOverTargetsInZone() {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            counts.merge(select("p" + i, Set.of()).id(), 1, Integer::sum);
        }
        assertThat(counts.keySet()).containsExactlyInAnyOrder("a", "b");
        assertThat(counts.values()).allMatch(count -> count > 140);
    }

    /** Replays a burst with far more concurrent turns than slots in the zone. */
    @Test
    void burstSpillsToOtherZonesBeforeQueueing() {
        List<String> selected = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            Target target = select("p" + i, Set.of());
            load(target).recordStart();
            selected.add(target.id());
        }
        // Three gateways of the zone send 24 turns each: 72 for 32 slots here and 32 there.
        assertThat(selected).contains("a", "b", "c", "d");
        for (Target target : TARGETS) {
            assertThat(load(target).inFlight()).isBetween(3, 9);
        }
    }

    @Test
    void consecutiveFailuresDoubleBackoff() {
        Target first = select("program", Set.of());
        load(first).recordStart();
        load(first).recordFailure(0, 100);
        assertThat(select("program", Set.of())).isNotEqualTo(first);
        assertThat(load(first).isInBackoff(99)).isTrue();
        assertThat(load(first).isInBackoff(100)).isFalse();
        load(first).recordStart();
        load(first).recordFailure(100, 100);
        assertThat(load(first).isInBackoff(299)).isTrue();
    }

    @Test
    void neverSelectsExcludedTargets() {
        assertThat(select("program", Set.of("a", "b", "c"))).isEqualTo(TARGETS.get(3));
        assertThat(select("program", Set.of("a", "b", "c", "d"))).isNull();
    }
}
