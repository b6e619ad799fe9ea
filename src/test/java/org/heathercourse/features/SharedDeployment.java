package org.heathercourse.features;

import io.cucumber.java.AfterAll;
import io.cucumber.java.en.Given;
import org.heathercourse.testing.deployment.LocalDeployment;

/** A deployment that all scenarios share, because its start takes seconds. Thread-safe. */
public class SharedDeployment {
    private static LocalDeployment sDeployment;

    /** Starts the deployment unless it is running. */
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

    /** Kills the processes of the deployment. */
    @AfterAll
    public static synchronized void stop() {
        if (sDeployment != null) {
            sDeployment.close();
        }
    }
}
