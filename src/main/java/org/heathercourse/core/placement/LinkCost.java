package org.heathercourse.core.placement;

/**
 * Cost of the network link between two zones. Immutable.
 *
 * @param delayMillis one-way delay in milliseconds
 * @param lossRatio ratio of lost packets, from 0 to 1
 * @param pricePerGigabyte price of a gigabyte in the operator's currency
 */
public record LinkCost(double delayMillis, double lossRatio, double pricePerGigabyte) {
    /** Cost within a zone. */
    public static final LinkCost LOCAL = new LinkCost(0, 0, 0);

    /** Usual minimum retransmission timeout of TCP, the delay after a lost packet. */
    private static final double RETRANSMISSION_TIMEOUT_MILLIS = 200;

    /** Returns the expected round-trip time in milliseconds, retransmissions included. */
    public double roundTripMillis() {
        return 2 * delayMillis + 2 * lossRatio * RETRANSMISSION_TIMEOUT_MILLIS;
    }
}
