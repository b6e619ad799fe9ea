package org.heathercourse.core.target;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.time.TestTime;
import org.junit.jupiter.api.Test;

/** Guards against new requests to ended targets and against removing live targets. */
class TargetTrackerTest {
    private final TestTime mTime = new TestTime();
    private final TargetTracker mTracker = new TargetTracker(mTime.suspendAwareClock());

    private static Target target(String id, long started, boolean leaving) {
        return new Target(id, started, "s", "10.0.0.1", 80, new Zone("z"), 4, leaving);
    }

    private List<String> usable() {
        return mTracker.list().usableTargets("s").stream().map(Target::id).sorted().toList();
    }

    @Test
    void removedRowMakesTargetUnusableImmediately() {
        mTracker.replaceAll(List.of(target("a", 1, false), target("b", 1, false)));
        mTracker.remove("a");
        assertThat(usable()).containsExactly("b");
    }

    @Test
    void leavingTargetIsListedButNotUsable() {
        mTracker.put(target("a", 1, true));
        assertThat(usable()).isEmpty();
        assertThat(mTracker.list().contains(target("a", 1, true))).isTrue();
    }

    @Test
    void keepsRowsLostInOutageForReregistrationTime() {
        mTracker.replaceAll(List.of(target("a", 1, false), target("b", 1, false)));
        mTracker.onOutageEnded();
        mTracker.replaceAll(List.of());
        mTime.advanceMillis(1_000);
        mTracker.put(target("a", 1, false));
        assertThat(mTracker.expire()).isEmpty();
        assertThat(usable()).containsExactly("a", "b");
        mTime.advanceMillis(TargetTracker.REREGISTRATION_MILLIS);
        assertThat(mTracker.expire()).extracting(Target::id).containsExactly("b");
        assertThat(usable()).containsExactly("a");
        assertThat(mTracker.hasPendingRemovals()).isFalse();
    }

    @Test
    void removesRowImmediatelyWhenOutageIsLongOver() {
        mTracker.put(target("a", 1, false));
        mTracker.onOutageEnded();
        mTime.advanceMillis(TargetTracker.REREGISTRATION_MILLIS);
        mTracker.remove("a");
        assertThat(usable()).isEmpty();
    }

    @Test
    void restartWithSameIdentityIsAnotherIncarnation() {
        Target before = target("a", 1, false);
        mTracker.put(before);
        mTracker.put(target("a", 2, false));
        assertThat(mTracker.list().isUsable(before)).isFalse();
        assertThat(mTracker.list().contains(before)).isFalse();
    }
}
