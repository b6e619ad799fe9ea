package org.heathercourse.core.load;

import org.heathercourse.core.load.FleetSimulation.Mode;
import org.junit.jupiter.api.Test;

class SharedLoadTest {
    @Test
    void probe() {
        for (double rate : new double[] {150, 200, 250}) {
            for (long seed = 1; seed <= 1; seed++) {
                System.out.println(
                        rate + " TODAY " + new FleetSimulation(Mode.TODAY, rate, true, seed).run());
                System.out.println(
                        rate
                                + " SHARED noprio "
                                + new FleetSimulation(Mode.SHARED, rate, false, seed).run());
                System.out.println(
                        rate
                                + " SHARED "
                                + new FleetSimulation(Mode.SHARED, rate, true, seed).run());
            }
        }
    }
}
