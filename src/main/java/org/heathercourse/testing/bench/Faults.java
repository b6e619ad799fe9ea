package org.heathercourse.testing.bench;

import org.heathercourse.core.model.Zone;

/** Plans the faults of a run. */
final class Faults {
    private static final double CONFIG_MILLIS = 2_000;

    private final BenchRun mRun;

    Faults(BenchRun run) {
        mRun = run;
    }

    void schedule(Fault fault, double seconds) {
        double from = seconds * 1000 / 3;
        double to = seconds * 1000 / 2;
        EventLoop loop = mRun.loop();
        switch (fault) {
            case ENGINE_LOSS -> {
                loop.after(from, () -> mRun.engines().get(0).fail());
                loop.after(to, () -> mRun.engines().get(0).restart());
            }
            case ZONE_LOSS -> {
                loop.after(from, this::loseZone);
                loop.after(to, () -> mRun.engines().forEach(EngineModel::restart));
            }
            case DRAIN -> {
                loop.after(from + CONFIG_MILLIS, () -> mRun.configure(0));
                loop.after(to + CONFIG_MILLIS, () -> mRun.configure(-1));
            }
            case NONE, NOISY_NEIGHBOUR -> {
                // Nothing breaks; a noisy neighbour is part of the arrivals.
            }
            default -> throw new IllegalArgumentException("unknown fault " + fault);
        }
    }

    private void loseZone() {
        Zone lost = mRun.scenario().engineZone(0);
        for (int i = 0; i < Scenario.ENGINES; i++) {
            if (mRun.scenario().engineZone(i).equals(lost)) {
                mRun.engines().get(i).fail();
            }
        }
        for (int i = 0; i < mRun.scenario().daemons(); i++) {
            if (mRun.scenario().daemonZone(i).equals(lost)) {
                mRun.loseDaemon(i);
            }
        }
    }
}
