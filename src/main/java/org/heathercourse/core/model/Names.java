package org.heathercourse.core.model;

import java.util.regex.Pattern;

/** Checks the form of identities. */
final class Names {
    private static final Pattern FORM = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

    private Names() {}

    static void check(String type, String value) {
        if (value == null || !FORM.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    type
                            + " is \""
                            + value
                            + "\", expected 1 to 128 characters: letters, digits, . _ : -");
        }
    }
}
