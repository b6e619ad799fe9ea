package org.heathercourse.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.heathercourse.core.config.LinkSpec;
import org.heathercourse.core.model.Zone;

/** Costs of the declared links between zones. Immutable and thread-safe. */
public final class LinkTable {
    /** Cost of zone pairs without a declared link, high so that such targets are picked last. */
    private static final LinkCost UNDECLARED_LINK = new LinkCost(50, 0.01, 1);

    private final Map<Zone, Map<Zone, LinkCost>> mCosts = new HashMap<>();

    /**
     * Creates a table of link costs.
     *
     * @param links declared links; each applies in both directions
     */
    public LinkTable(List<LinkSpec> links) {
        for (LinkSpec link : links) {
            LinkCost cost =
                    new LinkCost(link.delayMillis(), link.lossRatio(), link.pricePerGigabyte());
            mCosts.computeIfAbsent(link.from(), z -> new HashMap<>()).put(link.to(), cost);
            mCosts.computeIfAbsent(link.to(), z -> new HashMap<>()).put(link.from(), cost);
        }
    }

    /** Returns the cost between two zones, {@link LinkCost#LOCAL} within a zone. */
    public LinkCost between(Zone from, Zone to) {
        if (from.equals(to)) {
            return LinkCost.LOCAL;
        }
        return mCosts.getOrDefault(from, Map.of()).getOrDefault(to, UNDECLARED_LINK);
    }
}
