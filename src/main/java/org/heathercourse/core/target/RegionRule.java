package org.heathercourse.core.target;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.heathercourse.core.model.Zone;

/**
 * Decides to which targets a request may be sent by their regions. Without the regions of any zone
 * it restricts nothing; a target in a zone whose region is unknown gets no restricted request.
 * Immutable and thread-safe.
 */
public final class RegionRule {
    private final Map<Zone, String> mRegions;

    /**
     * Creates a rule.
     *
     * @param regions region of each zone; empty if regions are not known
     */
    public RegionRule(Map<Zone, String> regions) {
        mRegions = Map.copyOf(regions);
    }

    /**
     * Returns the targets to which a request may be sent.
     *
     * @param targets targets to choose from
     * @param ofRoute regions that the route of the request allows; empty if it allows all
     * @param ofWorkspace regions that the workspace of the request allows; empty if it allows all
     */
    public List<Target> allowed(
            List<Target> targets, Set<String> ofRoute, Set<String> ofWorkspace) {
        if (mRegions.isEmpty() || ofRoute.isEmpty() && ofWorkspace.isEmpty()) {
            return targets;
        }
        return targets.stream()
                .filter(t -> isAllowed(t.zone(), ofRoute) && isAllowed(t.zone(), ofWorkspace))
                .toList();
    }

    private boolean isAllowed(Zone zone, Set<String> regions) {
        String region = mRegions.get(zone);
        return regions.isEmpty() || region != null && regions.contains(region);
    }
}
