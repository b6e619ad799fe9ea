package org.heathercourse.core.config;

import java.util.List;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.Zone;

/**
 * A declared target. Immutable.
 *
 * @param target identity of the target
 * @param service service that it belongs to
 * @param zone zone that it runs in
 * @param baseUrl base URL without a trailing slash
 * @param models models that it has loaded or should load; empty for plain services
 * @param checksFencing whether the target rejects requests with an outdated fencing number
 * @param maxConcurrency maximum number of concurrent calls from all daemons together
 * @param state declared state
 * @param retireBy ISO 8601 date and time by which the target must be retired; empty if there is
 *     none
 */
public record TargetSpec(
        TargetId target,
        ServiceId service,
        Zone zone,
        String baseUrl,
        List<String> models,
        boolean checksFencing,
        int maxConcurrency,
        LifecycleState state,
        String retireBy) {
    /** Copies the list of models and applies the defaults. */
    public TargetSpec {
        models = models == null ? List.of() : List.copyOf(models);
        state = state == null ? LifecycleState.UP : state;
        retireBy = retireBy == null ? "" : retireBy;
    }

    /** Returns a copy with another declared state. */
    public TargetSpec withState(LifecycleState newState) {
        return new TargetSpec(
                target,
                service,
                zone,
                baseUrl,
                models,
                checksFencing,
                maxConcurrency,
                newState,
                retireBy);
    }
}
