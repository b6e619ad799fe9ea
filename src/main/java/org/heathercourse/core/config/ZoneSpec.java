package org.heathercourse.core.config;

import org.heathercourse.core.model.Zone;

/**
 * A declared zone.
 *
 * @param zone identity of the zone
 * @param region name of the region that the zone lies in
 */
public record ZoneSpec(Zone zone, String region) {}
