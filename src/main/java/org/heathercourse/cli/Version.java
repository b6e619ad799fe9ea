package org.heathercourse.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** The version of this build. */
public final class Version {
    private Version() {}

    /** Returns the version as the build wrote it. */
    public static String text() {
        try (InputStream in = Version.class.getResourceAsStream("version.properties")) {
            Properties properties = new Properties();
            properties.load(in);
            return properties.getProperty("version");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
