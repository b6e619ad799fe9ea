package org.heathercourse.testing.bench;

import org.heathercourse.core.model.Zone;

/** Schedules the fault of a {@link PolicyRun}. */
final class FaultSchedule {
    /** Time until a declared state is in force at the daemons. */
    private static final double CONFIG_DELAY_MILLIS = 2_000;

    private final PolicyRun mRun;

    FaultSchedule(PolicyRun run) {
        mRun = run;
    }

    /**
     * Schedules the start and the end of a fault.
     *
     * @param fault the fault
     * @param seconds duration of the arrivals
     */
    void schedule(Fault fault, double seconds) {
        double startMillis = seconds * 1000 / 3;
        double endMillis = seconds * 1000 / 2;
        EventLoop loop = mRun.loop();
        switch (fault) {
            case ENGINE_LOSS -> {
                loop.scheduleAfter(startMillis, () -> mRun.engines().get(0).fail());
                loop.scheduleAfter(endMillis, () -> mRun.engines().get(0).restart());
            }
            case ZONE_LOSS -> {
                loop.scheduleAfter(startMillis, this::failZone);
                loop.scheduleAfter(endMillis, () -> mRun.engines().forEach(EngineModel::restart));
            }
            case DRAIN -> {
                loop.scheduleAfter(startMillis + CONFIG_DELAY_MILLIS, () -> mRun.configure(0));
                loop.scheduleAfter(endMillis + CONFIG_DELAY_MILLIS, () -> mRun.configure(-1));
            }
            case NONE, NOISY_NEIGHBOUR -> {
                // Nothing fails; a noisy neighbour is part of the arrivals.
            }
            default -> throw new IllegalArgumentException("unknown fault " + fault);
        }
    }

    private void failZone() {
        Zone zone = mRun.scenario().engineZone(0);
        for (int i = 0; i < Scenario.ENGINES; i++) {
            if (mRun.scenario().engineZone(i).equals(zone)) {
                mRun.engines().get(i).fail();
            }
        }
        for (int i = 0; i < mRun.scenario().daemons(); i++) {
            if (mRun.scenario().daemonZone(i).equals(zone)) {
                mRun.failDaemon(i);
            }
        }
    }
}
