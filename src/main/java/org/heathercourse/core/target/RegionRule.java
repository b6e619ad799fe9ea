package org.heathercourse.core.target;

import java.util.List;
import java.util.Map;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.routing.AllowedRegions;

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
     * @param ofRoute regions that the route of the request allows
     * @param ofWorkspace regions that the workspace of the request allows
     */
    public List<Target> allowed(
            List<Target> targets, AllowedRegions ofRoute, AllowedRegions ofWorkspace) {
        if (mRegions.isEmpty() || !ofRoute.isRestricted() && !ofWorkspace.isRestricted()) {
            return targets;
        }
        return targets.stream()
                .filter(target -> isAllowed(target, ofRoute) && isAllowed(target, ofWorkspace))
                .toList();
    }

    private boolean isAllowed(Target target, AllowedRegions regions) {
        return regions.contains(mRegions.get(target.zone()));
    }
}
