package org.heathercourse.testing.bench;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.config.TargetSpec;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.placement.Pick;
import org.heathercourse.core.placement.PickRequest;
import org.heathercourse.core.placement.Refusal;

/** Round robin without affinity, first come first served, a full share of the rate per VM. */
final class NaiveRouter implements Router {
    private final int[] mNext;
    private List<TargetId> mTargets = List.of();

    NaiveRouter(int daemons) {
        mNext = new int[daemons];
        for (int i = 0; i < daemons; i++) {
            mNext[i] = i;
        }
    }

    @Override
    public void configure(DeploymentConfig config, long nowMillis) {
        mTargets =
                config.targets().stream()
                        .filter(t -> t.state().takesNewWork())
                        .map(TargetSpec::target)
                        .toList();
    }

    @Override
    public Either<Refusal, Pick> pick(
            int daemon, PickRequest request, double remainingMillis, long nowMillis) {
        TargetId target = mTargets.get(Math.floorMod(mNext[daemon]++, mTargets.size()));
        return Either.right(new Pick(target, 0, 0, 0, Optional.empty()));
    }

    @Override
    public boolean tryRetry(int daemon) {
        return true;
    }

    @Override
    public boolean sharesRates() {
        return false;
    }
}
