package org.heathercourse.core.model;

import java.util.regex.Pattern;

/** Validates the string form of identities. Stateless. */
final class Identities {
    private static final Pattern VALID_IDENTITY = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

    private Identities() {}

    /**
     * Checks an identity.
     *
     * @param type name of its type, for the error message
     * @param value the identity
     * @throws IllegalArgumentException if the value is null or malformed
     */
    static void requireValid(String type, String value) {
        if (value == null || !VALID_IDENTITY.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    type
                            + " is \""
                            + value
                            + "\", expected 1 to 128 characters: letters, digits, . _ : -");
        }
    }
}
