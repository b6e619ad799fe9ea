package org.heathercourse.platform.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.heathercourse.core.model.Zone;

/**
 * Decodes the platform's table of zones: either an object with an entry for each zone, whose value
 * is its region or an object with the region, or a list of objects with the name of the zone and
 * its region.
 */
final class ZoneTable {
    private static final String REGION = "region";

    private ZoneTable() {}

    /** Returns the region of each zone; entries without a region are left out. */
    static Map<Zone, String> decode(String json) {
        Map<Zone, String> regions = new HashMap<>();
        JsonNode table = read(json);
        if (table == null) {
            return regions;
        }
        if (table.isArray()) {
            table.forEach(zone -> put(regions, zone.path("name").asText(), zone.path(REGION)));
        } else {
            table.properties()
                    .forEach(
                            zone -> {
                                JsonNode value = zone.getValue();
                                JsonNode region = value.isObject() ? value.path(REGION) : value;
                                put(regions, zone.getKey(), region);
                            });
        }
        return regions;
    }

    private static JsonNode read(String json) {
        try {
            return Json.read(json.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            return null;
        }
    }

    private static void put(Map<Zone, String> regions, String name, JsonNode region) {
        try {
            if (region.isTextual()) {
                regions.put(new Zone(name), region.asText());
            }
        } catch (IllegalArgumentException e) {
            // A name that no target can have.
        }
    }
}
