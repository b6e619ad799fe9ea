package org.heathercourse.platform.hosted;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Optional;
import org.heathercourse.platform.entry.EntryFormat;

/** Address queries and readiness checks of this platform. Immutable. */
final class HostedEntryFormat implements EntryFormat {
    @Override
    public Optional<AddressQuery> parseAddressQuery(String uri) {
        QueryStringDecoder decoder = new QueryStringDecoder(uri);
        if (!decoder.path().equals(WireNames.ADDRESS_PATH)) {
            return Optional.empty();
        }
        List<String> zones = decoder.parameters().getOrDefault("zone", List.of(""));
        return Optional.of(new AddressQuery(zones.get(0)));
    }

    @Override
    public byte[] encodeAddresses(List<String> addresses, long keepSeconds) {
        ObjectNode answer = Json.object();
        addresses.forEach(answer.putArray("addresses")::add);
        answer.put("ttl_s", keepSeconds);
        return Json.bytes(answer);
    }

    @Override
    public boolean isReadinessCheck(String uri) {
        return new QueryStringDecoder(uri).path().equals(WireNames.READINESS_PATH);
    }
}
