package org.heathercourse.core.config;

import org.heathercourse.core.model.Zone;

/**
 * A declared network link between two zones; its values apply in both directions. Immutable.
 *
 * @param from one end
 * @param to the other end
 * @param delayMillis one-way delay in milliseconds
 * @param lossRatio ratio of lost packets, from 0 to 1
 * @param pricePerGigabyte price per transferred gigabyte, in the operator's currency
 */
public record LinkSpec(
        Zone from, Zone to, double delayMillis, double lossRatio, double pricePerGigabyte) {}
