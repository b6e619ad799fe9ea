package org.heathercourse.platform.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.OptionalDouble;
import java.util.Set;
import org.heathercourse.core.routing.AllowedRegions;
import org.heathercourse.core.routing.RoutingTable;

/**
 * Reads the fields of a configuration that permit something. A field that is absent has its
 * default; one of another type permits nothing and is recorded as a problem of the configuration.
 * Stateless and thread-safe.
 */
final class PermissionFields {
    private PermissionFields() {}

    /** Returns whether a field is true; each other value, {@code "true"} included, is not. */
    static boolean isTrue(JsonNode owner, String field, RoutingTable.Builder problems) {
        JsonNode value = owner.path(field);
        if (!isAbsent(value) && !value.isBoolean()) {
            problems.problem(describe(owner, field, "a Boolean"));
        }
        return value.isBoolean() && value.booleanValue();
    }

    /** Returns the non-empty texts of a list; elements of another type are left out. */
    static Set<String> texts(JsonNode owner, String field, RoutingTable.Builder problems) {
        Set<String> texts = new HashSet<>();
        JsonNode list = owner.path(field);
        if (!isAbsent(list) && !list.isArray()) {
            problems.problem(describe(owner, field, "a list of texts"));
            return texts;
        }
        for (JsonNode text : list) {
            if (text.isTextual() && !text.textValue().isEmpty()) {
                texts.add(text.textValue());
            } else {
                problems.problem(describe(owner, field, "a list of non-empty texts"));
            }
        }
        return texts;
    }

    /** Returns the regions of a list; all regions if the field is absent, and only then. */
    static AllowedRegions regions(JsonNode owner, String field, RoutingTable.Builder problems) {
        return owner.has(field)
                ? AllowedRegions.only(texts(owner, field, problems))
                : AllowedRegions.ALL;
    }

    /**
     * Returns a number from 0 on; 0 if the field is absent or null, and empty if its value is not
     * such a number.
     */
    static OptionalDouble number(JsonNode owner, String field, RoutingTable.Builder problems) {
        JsonNode value = owner.path(field);
        if (isAbsent(value)) {
            return OptionalDouble.of(0);
        }
        if (value.isNumber() && value.doubleValue() >= 0) {
            return OptionalDouble.of(value.doubleValue());
        }
        problems.problem(describe(owner, field, "a number from 0 on"));
        return OptionalDouble.empty();
    }

    private static boolean isAbsent(JsonNode value) {
        return value.isMissingNode() || value.isNull();
    }

    private static String describe(JsonNode owner, String field, String expected) {
        return field + " of " + owner.path("name") + " is not " + expected;
    }
}
