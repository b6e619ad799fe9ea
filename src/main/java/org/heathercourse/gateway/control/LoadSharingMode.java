package org.heathercourse.gateway.control;

import java.util.Locale;
import org.heathercourse.core.routing.Route;
import org.heathercourse.core.routing.RoutingTable;

/** Whether gateways share the load of targets. */
public enum LoadSharingMode {
    /** If a route of the configuration retains histories. */
    AUTO {
        @Override
        boolean isEnabled(RoutingTable routing) {
            return routing.hasRoute(Route::retainsHistory);
        }
    },
    /** Always. */
    ON {
        @Override
        boolean isEnabled(RoutingTable routing) {
            return true;
        }
    },
    /** Never. */
    OFF {
        @Override
        boolean isEnabled(RoutingTable routing) {
            return false;
        }
    };

    /** Returns whether load is shared under a configuration. */
    abstract boolean isEnabled(RoutingTable routing);

    /** Returns the mode of a valid setting: {@code auto}, {@code on} or {@code off}. */
    public static LoadSharingMode fromSetting(String value) {
        return valueOf(value.toUpperCase(Locale.ROOT));
    }
}
