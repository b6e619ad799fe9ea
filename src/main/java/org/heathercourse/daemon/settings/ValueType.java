package org.heathercourse.daemon.settings;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;
import org.heathercourse.log.LogLevel;

/** Types of setting values, each with its validation. */
enum ValueType {
    NAME("1 to 128 characters: letters, digits, . _ : -") {
        @Override
        boolean accepts(String value) {
            return NAME_PATTERN.matcher(value).matches();
        }
    },
    IP_ADDRESS("a numeric IPv4 or IPv6 address") {
        @Override
        boolean accepts(String value) {
            return IPV4_PATTERN.matcher(value).matches() || IPV6_PATTERN.matcher(value).matches();
        }
    },
    PORT("a whole number from 1 to 65535") {
        @Override
        boolean accepts(String value) {
            return inRange(value, 1, 65_535);
        }
    },
    HTTP_URL("a URL such as http://127.0.0.1:9101") {
        @Override
        boolean accepts(String value) {
            return URL_PATTERN.matcher(value).matches();
        }
    },
    ENDPOINT("an IPv4 address and a port such as 127.0.0.1:8080") {
        @Override
        boolean accepts(String value) {
            int colon = value.lastIndexOf(':');
            return colon > 0
                    && IPV4_PATTERN.matcher(value.substring(0, colon)).matches()
                    && inRange(value.substring(colon + 1), 1, 65_535);
        }
    },
    SECRET("at least 16 characters") {
        @Override
        boolean accepts(String value) {
            return value.length() >= MIN_SECRET_LENGTH;
        }
    },
    READABLE_FILE("the path of a readable file") {
        @Override
        boolean accepts(String value) {
            return Files.isReadable(Path.of(value));
        }
    },
    SECONDS("a whole number of seconds from 1 to 86400") {
        @Override
        boolean accepts(String value) {
            return inRange(value, 1, 86_400);
        }
    },
    MILLIS("a whole number of milliseconds from 1 to 600000") {
        @Override
        boolean accepts(String value) {
            return inRange(value, 1, 600_000);
        }
    },
    DECIMAL("a number from 0 to 1000000") {
        @Override
        boolean accepts(String value) {
            try {
                double number = Double.parseDouble(value);
                return number >= 0 && number <= 1_000_000;
            } catch (NumberFormatException e) {
                return false;
            }
        }
    },
    BYTES("a whole number of bytes from 1024 to 1073741824") {
        @Override
        boolean accepts(String value) {
            return inRange(value, 1_024, 1_073_741_824);
        }
    },
    TEXT("any text") {
        @Override
        boolean accepts(String value) {
            return true;
        }
    },
    SWITCH("auto, on or off") {
        @Override
        boolean accepts(String value) {
            return value.equals("auto") || value.equals("on") || value.equals("off");
        }
    },
    LOG_LEVEL("debug, info, warn or error") {
        @Override
        boolean accepts(String value) {
            return LogLevel.fromName(value).isPresent();
        }
    };

    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9._:-]{1,128}");
    private static final Pattern IPV4_PATTERN =
            Pattern.compile("((25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(?!$)|$)){4}");
    private static final Pattern IPV6_PATTERN = Pattern.compile("[0-9a-fA-F:]*:[0-9a-fA-F:.]*");
    private static final Pattern URL_PATTERN = Pattern.compile("https?://[^\\s/]+(/[^\\s]*)?");
    private static final int MIN_SECRET_LENGTH = 16;

    private final String mExpectedFormat;

    ValueType(String expected) {
        mExpectedFormat = expected;
    }

    /** Returns whether a value is valid for this type. */
    abstract boolean accepts(String value);

    /** Returns a description of the valid values. */
    String expectedFormat() {
        return mExpectedFormat;
    }

    private static boolean inRange(String value, long min, long max) {
        try {
            long number = Long.parseLong(value);
            return number >= min && number <= max;
        } catch (NumberFormatException e) {
            return false;
        }
    }
}
