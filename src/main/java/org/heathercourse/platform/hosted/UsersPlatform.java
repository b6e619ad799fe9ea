package org.heathercourse.platform.hosted;

import java.util.Map;
import org.heathercourse.core.model.Zone;
import org.heathercourse.platform.entry.CallFormat;
import org.heathercourse.platform.entry.DeclaredRows;
import org.heathercourse.platform.entry.EntryFormat;
import org.heathercourse.platform.entry.HostedPlatform;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.StoreChannel;

/** The hosted platform named {@code hosted}. Immutable. */
public final class UsersPlatform implements HostedPlatform {
    @Override
    public String name() {
        return "hosted";
    }

    @Override
    public String settingsFileVariable() {
        return "HEATHERCOURSE_BOOT";
    }

    @Override
    public RowStore rowStore(StoreChannel channel) {
        return new HostedRowStore(channel);
    }

    @Override
    public DeclaredRows declaredRows() {
        return new OperatorRows();
    }

    @Override
    public Map<Zone, String> zoneRegions(String table) {
        return ZoneTable.decode(table);
    }

    @Override
    public CallFormat callFormat() {
        return new HeaderFormat();
    }

    @Override
    public EntryFormat entryFormat() {
        return new HostedEntryFormat();
    }
}
