package org.heathercourse.core.load;

import static org.assertj.core.api.Assertions.assertThat;

import org.heathercourse.core.load.FleetSimulation.Mode;
import org.heathercourse.core.load.FleetSimulation.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a placement by shared load that serves short or long prompts worse than the
 * estimate of a single gateway, in a burst of 2.2 times the load and a swing between zones.
 */
class SharedLoadTest {
    private static final double PER_SECOND = 200;
    private static final long SEED = 1;

    private static Result run(Mode mode, long seed) {
        return new FleetSimulation(mode, PER_SECOND, true, seed).run();
    }

    /** Guards against gains of one kind of prompt at the expense of the other. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void servesShortAndLongPromptsBetterThanOneGatewaysEstimate(long seed) {
        Result today = run(Mode.TODAY, seed);
        Result shared = run(Mode.SHARED, seed);
        assertThat(shared.shortShare()).isGreaterThan(today.shortShare());
        assertThat(shared.longShare()).isGreaterThan(today.longShare());
        assertThat(shared.metShare()).isGreaterThan(today.metShare() + 0.1);
    }

    /** Guards against a gain that comes from moving fewer programs alone, without shared load. */
    @Test
    void sharingGainsBeyondTheCostOfDisplacedPrompts() {
        Result own = run(Mode.OWN_LOAD_WITH_DISPLACEMENT_COST, SEED);
        Result shared = run(Mode.SHARED, SEED);
        assertThat(shared.shortShare()).isGreaterThan(own.shortShare());
        assertThat(shared.longShare()).isGreaterThan(own.longShare());
    }

    /** Guards against decisions that are worse than today's while a part of the exchange fails. */
    @ParameterizedTest
    @EnumSource(
            value = Mode.class,
            names = {"OWNER_LOST", "OWNER_SUSPENDED", "HALF_RESTARTED"})
    void isNotWorseThanTodayInFailures(Mode mode) {
        Result today = run(Mode.TODAY, SEED);
        Result failing = run(mode, SEED);
        assertThat(failing.shortShare()).isGreaterThanOrEqualTo(today.shortShare());
        assertThat(failing.longShare()).isGreaterThanOrEqualTo(today.longShare());
    }

    /** Guards against the use of a picture that was true five seconds ago. */
    @Test
    void decidesAsTodayWhileRepliesAreFiveSecondsOld() {
        Result today = new FleetSimulation(Mode.TODAY, PER_SECOND, false, SEED).run();
        Result old = new FleetSimulation(Mode.OLD_REPLIES, PER_SECOND, false, SEED).run();
        assertThat(old).isEqualTo(today);
    }
}
