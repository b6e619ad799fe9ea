package org.heathercourse.features;

import io.cucumber.java.AfterAll;
import io.cucumber.java.en.Given;
import org.heathercourse.testing.deployment.LocalDeployment;

/** One deployment of separate processes that all scenarios use, as starting one takes seconds. */
public class SharedDeployment {
    private static LocalDeployment sDeployment;

    /** Starts the deployment for the first scenario that needs it. */
    @Given("a running deployment")
    public void start() {
        get();
    }

    static synchronized LocalDeployment get() {
        if (sDeployment == null) {
            sDeployment = LocalDeployment.builder().daemons(2).build();
            sDeployment.start();
        }
        return sDeployment;
    }

    /** Ends all processes. */
    @AfterAll
    public static synchronized void stop() {
        if (sDeployment != null) {
            sDeployment.close();
        }
    }
}
