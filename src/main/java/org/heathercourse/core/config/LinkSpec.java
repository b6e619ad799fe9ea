package org.heathercourse.core.config;

import org.heathercourse.core.model.Zone;

/**
 * A declared link between two zones, valid in both directions.
 *
 * @param from one end
 * @param to the other end
 * @param delayMillis delay one way in milliseconds
 * @param lossRatio share of packets lost, from 0 to 1
 * @param pricePerGigabyte price of a gigabyte, in the operator's currency
 */
public record LinkSpec(
        Zone from, Zone to, double delayMillis, double lossRatio, double pricePerGigabyte) {}
