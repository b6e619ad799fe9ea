package org.heathercourse.core.placement;

/**
 * Cost of the link between two zones. Immutable.
 *
 * @param delayMillis delay one way in milliseconds
 * @param lossRatio share of packets lost, from 0 to 1
 * @param pricePerGigabyte price of a gigabyte in the operator's currency
 */
public record LinkCost(double delayMillis, double lossRatio, double pricePerGigabyte) {
    /** The link of a zone to itself. */
    public static final LinkCost LOCAL = new LinkCost(0, 0, 0);

    /** A retransmission after a loss costs about this time with the usual minimum timeout. */
    private static final double RETRANSMIT_MILLIS = 200;

    /** Returns the expected time of a request and its answer on the link in milliseconds. */
    public double roundTripMillis() {
        return 2 * delayMillis + 2 * lossRatio * RETRANSMIT_MILLIS;
    }
}
