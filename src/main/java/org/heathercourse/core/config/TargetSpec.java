package org.heathercourse.core.config;

import java.util.List;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.Zone;

/**
 * A declared target.
 *
 * @param target identity of the target
 * @param service service that it belongs to
 * @param zone zone that it stands in
 * @param baseUrl base URL without a slash at the end
 * @param models models that it has loaded or is to load; empty for plain services
 * @param checksFencing whether the target refuses orders with an old fencing number
 * @param maxConcurrency most calls that the whole fleet runs on it at once
 * @param state declared state
 * @param retireBy date and time in ISO 8601 by which it has to be gone; empty if there is none
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
    /** Copies the list of models. */
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
