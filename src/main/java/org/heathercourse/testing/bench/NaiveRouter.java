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

/**
 * Baseline policy: round robin without cache affinity, first come first served, the full rate of a
 * workspace at each daemon.
 */
final class NaiveRouter implements Router {
    private final int[] mNextIndex;
    private List<TargetId> mTargets = List.of();

    NaiveRouter(int daemons) {
        mNextIndex = new int[daemons];
        for (int i = 0; i < daemons; i++) {
            mNextIndex[i] = i;
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
            int daemon, PickRequest request, double remainingWorkMillis, long nowMillis) {
        TargetId target = mTargets.get(Math.floorMod(mNextIndex[daemon]++, mTargets.size()));
        return Either.right(new Pick(target, 0, 0, 0, Optional.empty()));
    }

    @Override
    public boolean tryAcquireRetry(int daemon) {
        return true;
    }

    @Override
    public boolean enforcesFleetRate() {
        return false;
    }
}
