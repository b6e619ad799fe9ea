package org.heathercourse.core.config;

import java.time.DateTimeException;
import java.time.OffsetDateTime;

/** Checks dates in ISO 8601 format. Stateless. */
final class IsoDates {
    private IsoDates() {}

    /** Returns whether a value is an ISO 8601 date and time with an offset. */
    static boolean isValid(String value) {
        try {
            return OffsetDateTime.parse(value) != null;
        } catch (DateTimeException e) {
            return false;
        }
    }
}
