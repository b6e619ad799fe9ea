package org.heathercourse.gateway.call;

import org.heathercourse.core.load.OwnWork;
import org.heathercourse.core.load.WaitEstimate;
import org.heathercourse.gateway.control.LoadSharing;

/**
 * Load of the targets as known to the traffic loop. Confined to the traffic loop.
 *
 * @param sharing exchange with other gateways
 * @param own work of this gateway
 * @param waits estimates of waits
 */
public record LoadTracking(LoadSharing sharing, OwnWork own, WaitEstimate waits) {}
