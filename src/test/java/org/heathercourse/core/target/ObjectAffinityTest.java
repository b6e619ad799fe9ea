package org.heathercourse.core.target;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.heathercourse.core.model.Zone;
import org.junit.jupiter.api.Test;

/** Guards against objects that move between targets, and against queues that affinity creates. */
class ObjectAffinityTest {
    private static final Zone HERE = new Zone("here");
    private static final int SLOTS = 8;
    private static final List<Target> TARGETS =
            List.of(
                    target("a", "here"),
                    target("b", "here"),
                    target("c", "here"),
                    target("d", "there"));

    private final Map<String, TargetLoad> mLoads = new HashMap<>();
    private final ObjectAffinity mAffinity = new ObjectAffinity(HERE);

    private static Target target(String id, String zone) {
        return new Target(id, 1, "s", "10.0.0.1", 80, new Zone(zone), SLOTS, false);
    }

    private TargetLoad load(Target target) {
        return mLoads.computeIfAbsent(target.id(), id -> new TargetLoad());
    }

    private Optional<Target> preferred(String key, Set<String> excluded, int gateways) {
        return mAffinity.preferred(
                TARGETS, id -> !excluded.contains(id), this::load, key, gateways, 0);
    }

    private Target preferred() {
        return preferred("object", Set.of(), 3).get();
    }

    /** Guards against gateways of a zone that prefer different targets for one object. */
    @Test
    void objectKeepsItsTargetInZone() {
        Target first = preferred();
        for (int i = 0; i < 20; i++) {
            assertThat(preferred()).isEqualTo(first);
        }
        assertThat(first.zone()).isEqualTo(HERE);
        assertThat(
                        new ObjectAffinity(HERE)
                                .preferred(
                                        TARGETS, id -> true, t -> new TargetLoad(), "object", 9, 5))
                .contains(first);
    }

    /** Guards against a target that gets most objects. */
    @Test
    void objectsAreSpreadOverZone() {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            counts.merge(preferred("o" + i, Set.of(), 3).get().id(), 1, Integer::sum);
        }
        assertThat(counts.keySet()).containsExactlyInAnyOrder("a", "b", "c");
        assertThat(counts.values()).allMatch(count -> count > 150);
    }

    /**
     * Guards against a queue at the target of an object that is requested much more than others.
     */
    @Test
    void popularObjectDoesNotFillItsTarget() {
        Target first = preferred();
        int sent = 0;
        while (sent < SLOTS && preferred("object", Set.of(), 3).isPresent()) {
            load(first).recordStart();
            sent++;
        }
        assertThat(sent * 3).isBetween(3, SLOTS + 3);
        // In a large fleet, one request of each gateway would fill the target.
        mLoads.clear();
        load(first).recordStart();
        assertThat(preferred("object", Set.of(), 40)).isEmpty();
    }

    /** Guards against a target that is loaded more than a kept object is worth. */
    @Test
    void loadedTargetIsNotPreferred() {
        Target first = preferred();
        load(first).recordStart();
        assertThat(preferred("object", Set.of(), 3)).contains(first);
        assertThat(preferred("object", Set.of(), 7)).contains(first);
        assertThat(preferred("object", Set.of(), 8)).isEmpty();
    }

    /** Guards against a queue that consists of other gateways' requests, seen as long runs only. */
    @Test
    void targetWithLongRunsIsNotPreferred() {
        Target first = preferred();
        for (Target target : TARGETS) {
            load(target).recordStart();
            load(target).recordSuccess(target.equals(first) ? 31 : 20);
        }
        assertThat(preferred("object", Set.of(), 3)).isEmpty();
        for (int i = 0; i < 10; i++) {
            load(first).recordStart();
            load(first).recordSuccess(20);
        }
        assertThat(preferred("object", Set.of(), 3)).contains(first);
    }

    /** Guards against attempts at targets that refused the request, failed or do not run. */
    @Test
    void unusableTargetIsNotPreferred() {
        Target first = preferred();
        assertThat(preferred("object", Set.of(first.id()), 3)).isEmpty();
        load(first).recordStart();
        load(first).recordRejection(0, 60);
        assertThat(preferred("object", Set.of(), 3)).isEmpty();
        mLoads.clear();
        load(first).recordEnd(0, 500);
        assertThat(preferred("object", Set.of(), 3)).isEmpty();
    }

    /** Guards against requests that leave the zone for an object. */
    @Test
    void noTargetInZoneMeansNoPreference() {
        assertThat(
                        new ObjectAffinity(new Zone("elsewhere"))
                                .preferred(TARGETS, id -> true, this::load, "object", 3, 0))
                .isEmpty();
        assertThat(new HashSet<>(mLoads.keySet())).isEmpty();
    }
}
