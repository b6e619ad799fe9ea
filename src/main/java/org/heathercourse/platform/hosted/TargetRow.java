package org.heathercourse.platform.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.util.Optional;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.target.Target;
import org.heathercourse.platform.rows.StoredRow;

/**
 * Decodes the rows that targets write. Other programs write to the same table, so a row that is not
 * well-formed, or has a value out of range, is not a target.
 */
final class TargetRow {
    private TargetRow() {}

    /** Returns the target of a row; empty if it describes none. */
    static Optional<Target> decode(StoredRow row) {
        try {
            JsonNode entry = Json.read(row.value());
            return entry != null && isWellFormed(row, entry)
                    ? Optional.of(target(row, entry))
                    : Optional.empty();
        } catch (IOException | IllegalArgumentException | ArithmeticException e) {
            return Optional.empty();
        }
    }

    private static boolean isWellFormed(StoredRow row, JsonNode entry) {
        return isHeaderValue(row.key().key())
                && entry.path("service").isTextual()
                && entry.path("address").isTextual()
                && entry.path("zone").isTextual()
                && isWholeNumber(entry.path("slots"))
                && (entry.path("born").isMissingNode() || isWholeNumber(entry.path("born")))
                && isState(entry.path("state").asText());
    }

    /** Returns whether an identity can be sent in a header: it consists of visible ASCII. */
    private static boolean isHeaderValue(String identity) {
        return !identity.isEmpty() && identity.chars().allMatch(c -> c > ' ' && c < 0x7f);
    }

    private static boolean isWholeNumber(JsonNode number) {
        return number.isIntegralNumber() && number.canConvertToLong() && number.asLong() >= 0;
    }

    /**
     * Returns whether a text is the IP address of a host. A name is not accepted, as its lookup
     * would block the traffic loop, nor 0.0.0.0, which connects a gateway to itself.
     */
    private static boolean isHostAddress(String host) {
        InetAddress address = NetUtil.createInetAddressFromIpAddressString(host);
        return address != null && !address.isAnyLocalAddress() && !address.isMulticastAddress();
    }

    private static boolean isState(String state) {
        return state.equals("ready") || state.equals("draining");
    }

    /**
     * Converts a row.
     *
     * @throws IllegalArgumentException if the address or the zone is malformed, or a number is out
     *     of range
     * @throws ArithmeticException if the slots exceed the range of an integer
     */
    private static Target target(StoredRow row, JsonNode entry) {
        String address = entry.path("address").asText();
        int colon = address.lastIndexOf(':');
        String host = colon < 0 ? "" : address.substring(0, colon);
        if (!isHostAddress(host)) {
            throw new IllegalArgumentException("host " + host + ", expected an IP address");
        }
        return new Target(
                row.key().key(),
                entry.path("born").asLong(0),
                entry.path("service").asText(),
                host,
                Integer.parseInt(address.substring(colon + 1)),
                new Zone(entry.path("zone").asText()),
                Math.toIntExact(entry.path("slots").asLong()),
                entry.path("state").asText().equals("draining"),
                // Negative and malformed numbers count as absent.
                Math.max(0, (long) entry.path("cold_remaining_ms").asDouble(0)));
    }
}
