package org.heathercourse.core.target;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.heathercourse.core.model.Zone;
import org.junit.jupiter.api.Test;

/** Guards against requests to evacuated zones, and against evacuations that never end. */
class EvacuationTrackerTest {
    private static final Zone NORTH = new Zone("north");
    private static final Zone SOUTH = new Zone("south");

    private final EvacuationTracker mTracker = new EvacuationTracker();

    private static Target target(String id, Zone zone, boolean leaving) {
        return new Target(id, 1, "s", "10.0.0.1", 80, zone, 4, leaving);
    }

    /** A removal that happened while the store was out of reach is seen as a missing row only. */
    @Test
    void snapshotWithoutRowEndsEvacuation() {
        mTracker.put(NORTH);
        mTracker.put(SOUTH);
        mTracker.replaceAll(Set.of(SOUTH), Set.of());
        assertThat(mTracker.zones()).containsExactly(SOUTH);
        mTracker.remove(SOUTH);
        assertThat(mTracker.zones()).isEmpty();
    }

    /** Guards against a row in disorder that ends an evacuation, or starts one. */
    @Test
    void unreadableRowOfSnapshotChangesNothing() {
        mTracker.put(NORTH);
        mTracker.replaceAll(Set.of(), Set.of(NORTH, SOUTH));
        assertThat(mTracker.zones()).containsExactly(NORTH);
    }

    /** Guards against a target in an evacuated zone being selected, or taken for one that ended. */
    @Test
    void targetInEvacuatedZoneIsListedAndAcceptsNothing() {
        Target north = target("n", NORTH, false);
        Target south = target("s", SOUTH, false);
        TargetList list = new TargetList(List.of(north, south)).withEvacuated(Set.of(NORTH));
        assertThat(list.usableTargets("s")).containsExactly(south);
        assertThat(list.state(north)).isEqualTo(TargetState.EVACUATED);
        assertThat(list.state(north).acceptsRequests()).isFalse();
        assertThat(list.state(north).hasEnded()).isFalse();
        assertThat(list.contains(north)).isTrue();
        assertThat(list.withEvacuated(Set.of()).usableCount()).isEqualTo(2);
    }

    /** Guards against the end of an evacuation that returns requests to a target that leaves. */
    @Test
    void targetThatLeavesStaysUnusableAfterEvacuation() {
        Target north = target("n", NORTH, true);
        TargetList list = new TargetList(List.of(north)).withEvacuated(Set.of(NORTH));
        assertThat(list.state(north)).isEqualTo(TargetState.LEAVING);
        assertThat(list.withEvacuated(Set.of()).usableCount()).isZero();
    }

    /** Guards against a target's own word that it leaves undoing an evacuation. */
    @Test
    void evacuationOutlastsTargetsThatSayThatTheyLeave() {
        Target north = target("n", NORTH, false);
        Target other = target("o", NORTH, false);
        TargetList list =
                new TargetList(List.of(north, other))
                        .withEvacuated(Set.of(NORTH))
                        .withLeaving(other.incarnation()::equals);
        assertThat(list.usableCount()).isZero();
        assertThat(list.state(north)).isEqualTo(TargetState.EVACUATED);
    }
}
