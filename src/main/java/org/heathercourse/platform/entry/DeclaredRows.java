package org.heathercourse.platform.entry;

import java.util.Optional;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.routing.RoutingTable;
import org.heathercourse.core.target.Target;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.StoredRow;

/**
 * Decodes the rows that operators and targets write to the store. Implementations are immutable.
 */
public interface DeclaredRows {
    /** Returns the key of the row that holds the configuration. */
    RowKey configurationRow();

    /**
     * Decodes a configuration.
     *
     * @param row row that holds the configuration
     * @return the routing table
     * @throws org.heathercourse.core.error.HeathercourseException if the row holds no valid
     *     configuration
     */
    RoutingTable routingTable(StoredRow row);

    /**
     * Returns the zone that a row evacuates as long as it exists; such rows are in the table of the
     * configuration.
     *
     * @param key key of the row
     * @return the zone, or empty if rows with this key evacuate none
     */
    Optional<Zone> evacuatedZone(RowKey key);

    /**
     * Returns whether the content of a row that evacuates a zone is valid.
     *
     * @param row row for which {@link #evacuatedZone} returns a zone
     */
    boolean isEvacuation(StoredRow row);

    /** Returns the table in which each target registers a row under its identity. */
    String targetTable();

    /**
     * Decodes the registration of a target.
     *
     * @param row row of the target table
     * @return the target, or empty if the row does not hold a valid registration
     */
    Optional<Target> target(StoredRow row);
}
