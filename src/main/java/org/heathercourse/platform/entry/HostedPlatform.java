package org.heathercourse.platform.entry;

import java.util.Map;
import org.heathercourse.core.model.Zone;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.StoreChannel;

/**
 * A hosted platform on which gateways run. Implementations are loaded by {@link
 * java.util.ServiceLoader}, so that no other package depends on one.
 */
public interface HostedPlatform {
    /** Returns the name that selects this platform in the settings. */
    String name();

    /** Returns the environment variable that holds the path of the settings file. */
    String settingsFileVariable();

    /** Creates a store that sends its requests over the given channel. */
    RowStore rowStore(StoreChannel channel);

    /** Returns the decoder of the rows that operators and targets write. */
    DeclaredRows declaredRows();

    /**
     * Decodes the platform's table of zones.
     *
     * @param table the table as the platform writes it into the settings; may be empty
     * @return region of each zone; without zones whose region the table does not tell
     */
    Map<Zone, String> zoneRegions(String table);

    /** Returns the codec of call headers. */
    CallFormat callFormat();

    /** Returns the codec of the requests that gateways answer without a target. */
    EntryFormat entryFormat();
}
