package org.heathercourse.core.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.heathercourse.core.attempt.AttemptHistory.NextAction;
import org.junit.jupiter.api.Test;

/** Guards against forbidden repetitions and against reporting "not run" after a possible run. */
class AttemptHistoryTest {
    @Test
    void failsNonRepeatableRequestThatMayHaveRun() {
        AttemptHistory history = new AttemptHistory(false, 3);
        assertThat(history.recordAttempt("a", Delivery.MAY_HAVE_RUN, false))
                .isEqualTo(NextAction.FAIL);
        assertThat(history.finalAction()).isEqualTo(NextAction.FAIL);
    }

    @Test
    void retriesUnsentRequestAtAnotherTarget() {
        AttemptHistory history = new AttemptHistory(false, 1);
        assertThat(history.recordAttempt("a", Delivery.NOT_SENT, true))
                .isEqualTo(NextAction.OTHER_TARGET);
        assertThat(history.recordAttempt("b", Delivery.NOT_RUN, false))
                .isEqualTo(NextAction.OTHER_TARGET);
        assertThat(history.excluded()).containsExactlyInAnyOrder("a", "b");
        assertThat(history.finalAction()).isEqualTo(NextAction.REFUSE);
    }

    @Test
    void resumesStreamAtItsOnlyTarget() {
        AttemptHistory history = new AttemptHistory(true, 1);
        assertThat(history.recordAttempt("a", Delivery.MAY_HAVE_RUN, false))
                .isEqualTo(NextAction.SAME_TARGET);
        // The target refuses the request, but another target would exceed the maximum of one.
        assertThat(history.recordAttempt("a", Delivery.NOT_RUN, false))
                .isEqualTo(NextAction.SAME_TARGET);
    }

    @Test
    void endedTargetDoesNotCountAgainstTargetLimit() {
        AttemptHistory history = new AttemptHistory(true, 1);
        assertThat(history.recordAttempt("a", Delivery.MAY_HAVE_RUN, true))
                .isEqualTo(NextAction.OTHER_TARGET);
        assertThat(history.excluded()).containsExactly("a");
    }

    @Test
    void resumesAtAnotherTargetWhenTargetEnded() {
        AttemptHistory history = new AttemptHistory(true, 1);
        history.recordAttempt("a", Delivery.MAY_HAVE_RUN, false);
        assertThat(history.recordAttempt("a", Delivery.NOT_SENT, true))
                .isEqualTo(NextAction.OTHER_TARGET);
    }

    /** Guards against a request that runs at more targets than its route allows. */
    @Test
    void permitsNoFurtherTargetAtTargetLimit() {
        AttemptHistory history = new AttemptHistory(true, 2);
        history.recordAttempt("a", Delivery.MAY_HAVE_RUN, false);
        assertThat(history.permits("c")).isTrue();
        history.recordAttempt("b", Delivery.MAY_HAVE_RUN, false);
        assertThat(history.permits("a")).isTrue();
        assertThat(history.permits("b")).isTrue();
        assertThat(history.permits("c")).isFalse();
        history.recordAttempt("b", Delivery.NOT_SENT, true);
        assertThat(history.permits("b")).isFalse();
        assertThat(history.permits("c")).isTrue();
    }

    /** Follows the returned actions with random targets and delivery states. */
    @Property(tries = 500)
    void neverExceedsRunAndTargetLimits(
            @ForAll boolean repeatable,
            @ForAll @IntRange(min = 1, max = 3) int maxTargets,
            @ForAll @Size(40) List<@IntRange(min = 0, max = 2) Integer> ends,
            @ForAll @Size(40) List<@IntRange(min = 0, max = 5) Integer> picks) {
        AttemptHistory history = new AttemptHistory(repeatable, maxTargets);
        Set<Integer> mayHaveRunAt = new HashSet<>();
        Set<Integer> rejectedAt = new HashSet<>();
        List<Integer> runs = new ArrayList<>();
        int last = 0;
        NextAction next = NextAction.OTHER_TARGET;
        for (int i = 0; i < 40; i++) {
            if (next == NextAction.REFUSE || next == NextAction.FAIL) {
                assertThat(next).isEqualTo(runs.isEmpty() ? NextAction.REFUSE : NextAction.FAIL);
                break;
            }
            int target = next == NextAction.SAME_TARGET ? last : picks.get(i);
            if (next == NextAction.OTHER_TARGET && !history.permits("t" + target)) {
                assertThat(mayHaveRunAt.size() == maxTargets || rejectedAt.contains(target))
                        .isTrue();
            }
            Delivery delivery = Delivery.values()[ends.get(i)];
            if (!delivery.provesNotRun()) {
                runs.add(target);
                mayHaveRunAt.add(target);
            } else {
                rejectedAt.add(target);
            }
            last = target;
            next = history.recordAttempt("t" + target, delivery, false);
        }
        assertThat(next).isIn(NextAction.REFUSE, NextAction.FAIL);
        assertThat(runs.size()).isLessThanOrEqualTo(repeatable ? 4 : 1);
        assertThat(mayHaveRunAt.size()).isLessThanOrEqualTo(maxTargets);
    }
}
