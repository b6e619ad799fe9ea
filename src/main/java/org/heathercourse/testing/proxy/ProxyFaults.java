package org.heathercourse.testing.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;

/**
 * The faults that a proxy injects into its connections. Immutable.
 *
 * @param delayMillis delay of each chunk in each direction, in milliseconds
 * @param jitterMillis maximum random delay in addition, in milliseconds
 * @param stallRate fraction of the chunks, from 0 to 1, that are stalled; models a lost packet,
 *     which TCP retransmits after a timeout
 * @param stallMillis additional delay of a stalled chunk, in milliseconds
 * @param cut whether open connections are closed, and new ones closed immediately
 * @param halfOpen direction whose bytes are accepted and dropped
 * @param loseReplies number of replies to lose: the request is forwarded, and both connections are
 *     closed when the first bytes of the reply arrive
 */
public record ProxyFaults(
        long delayMillis,
        long jitterMillis,
        double stallRate,
        long stallMillis,
        boolean cut,
        HalfOpen halfOpen,
        int loseReplies) {
    /** No faults. */
    public static final ProxyFaults NONE = new ProxyFaults(0, 0, 0, 0, false, HalfOpen.NONE, 0);

    /** Directions in which bytes are dropped. */
    public enum HalfOpen {
        NONE,
        TO_TARGET,
        TO_CLIENT,
        BOTH;

        boolean drops(boolean toTarget) {
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

    /** Returns a copy that stalls a fraction of the chunks for a time in milliseconds. */
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

    /** Returns a copy that closes all connections or forwards them. */
    public ProxyFaults withCut(boolean newCut) {
        return new ProxyFaults(
                delayMillis, jitterMillis, stallRate, stallMillis, newCut, halfOpen, loseReplies);
    }

    /** Returns a copy that drops the bytes of a direction. */
    public ProxyFaults withHalfOpen(HalfOpen newHalfOpen) {
        return new ProxyFaults(
                delayMillis, jitterMillis, stallRate, stallMillis, cut, newHalfOpen, loseReplies);
    }

    /** Returns a copy that loses a number of replies. */
    public ProxyFaults withLoseReplies(int newLoseReplies) {
        return new ProxyFaults(
                delayMillis, jitterMillis, stallRate, stallMillis, cut, halfOpen, newLoseReplies);
    }

    /**
     * Returns a copy with the values of the fields that a JSON object contains: {@code delay_ms},
     * {@code jitter_ms}, {@code stall_rate}, {@code stall_ms}, {@code cut}, {@code half_open}
     * (none, to_target, to_client, both) and {@code lose_replies}.
     *
     * @throws IllegalArgumentException if the direction is unknown
     */
    public ProxyFaults withJson(JsonNode json) {
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
