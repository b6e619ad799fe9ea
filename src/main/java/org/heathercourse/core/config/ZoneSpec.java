package org.heathercourse.core.config;

import org.heathercourse.core.model.Zone;

/**
 * A declared zone. Immutable.
 *
 * @param zone identity of the zone
 * @param region name of the region of the zone
 */
public record ZoneSpec(Zone zone, String region) {}
