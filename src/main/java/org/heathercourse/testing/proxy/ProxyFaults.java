package org.heathercourse.testing.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;

/**
 * What a proxy does to the connections that pass through it. Immutable.
 *
 * @param delayMillis time added to each piece in each direction, in milliseconds
 * @param jitterMillis most time added at random on top of the delay, in milliseconds
 * @param stallRate share of the pieces, from 0 to 1, that are held for the stall time; models a
 *     lost packet, which TCP sends again after a timeout
 * @param stallMillis time for which such a piece is held, in milliseconds
 * @param cut whether connections are closed and new ones closed at once
 * @param halfOpen direction whose bytes are accepted and thrown away
 * @param loseReplies number of answers that are lost: the request is passed on and both connections
 *     are closed when the first byte of the answer arrives
 */
public record ProxyFaults(
        long delayMillis,
        long jitterMillis,
        double stallRate,
        long stallMillis,
        boolean cut,
        HalfOpen halfOpen,
        int loseReplies) {
    /** No fault at all. */
    public static final ProxyFaults NONE = new ProxyFaults(0, 0, 0, 0, false, HalfOpen.NONE, 0);

    /** Directions in which bytes are thrown away. */
    public enum HalfOpen {
        NONE,
        TO_TARGET,
        TO_CLIENT,
        BOTH;

        boolean swallows(boolean toTarget) {
            return this == BOTH || this == (toTarget ? TO_TARGET : TO_CLIENT);
        }
    }

    /** Returns a copy with another delay and jitter, in milliseconds. */
    public ProxyFaults withDelay(long newDelayMillis, long newJitterMillis) {
        return new ProxyFaults(
                newDelayMillis,
                newJitterMillis,
                stallRate,
                stallMillis,
                cut,
                halfOpen,
                loseReplies);
    }

    /** Returns a copy that holds a share of the pieces for a time in milliseconds. */
    public ProxyFaults withStalls(double newStallRate, long newStallMillis) {
        return new ProxyFaults(
                delayMillis,
                jitterMillis,
                newStallRate,
                newStallMillis,
                cut,
                halfOpen,
                loseReplies);
    }

    /** Returns a copy that closes all connections or lets them pass. */
    public ProxyFaults withCut(boolean newCut) {
        return new ProxyFaults(
                delayMillis, jitterMillis, stallRate, stallMillis, newCut, halfOpen, loseReplies);
    }

    /** Returns a copy that throws away the bytes of a direction. */
    public ProxyFaults withHalfOpen(HalfOpen newHalfOpen) {
        return new ProxyFaults(
                delayMillis, jitterMillis, stallRate, stallMillis, cut, newHalfOpen, loseReplies);
    }

    /** Returns a copy that loses a number of answers. */
    public ProxyFaults withLoseReplies(int newLoseReplies) {
        return new ProxyFaults(
                delayMillis, jitterMillis, stallRate, stallMillis, cut, halfOpen, newLoseReplies);
    }

    /**
     * Returns a copy with the fields that are present in a JSON object: {@code delay_ms}, {@code
     * jitter_ms}, {@code stall_rate}, {@code stall_ms}, {@code cut}, {@code half_open} (none,
     * to_target, to_client, both) and {@code lose_replies}.
     *
     * @throws IllegalArgumentException if the direction is not known
     */
    public ProxyFaults with(JsonNode json) {
        return new ProxyFaults(
                json.path("delay_ms").asLong(delayMillis),
                json.path("jitter_ms").asLong(jitterMillis),
                json.path("stall_rate").asDouble(stallRate),
                json.path("stall_ms").asLong(stallMillis),
                json.path("cut").asBoolean(cut),
                HalfOpen.valueOf(
                        json.path("half_open").asText(halfOpen.name()).toUpperCase(Locale.ROOT)),
                json.path("lose_replies").asInt(loseReplies));
    }
}
