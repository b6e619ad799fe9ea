package org.heathercourse.core.config;

import java.time.DateTimeException;
import java.time.OffsetDateTime;

/** Checks dates as operators write them. */
final class IsoDates {
    private IsoDates() {}

    static boolean valid(String value) {
        try {
            return OffsetDateTime.parse(value) != null;
        } catch (DateTimeException e) {
            return false;
        }
    }
}
