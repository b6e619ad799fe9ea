package org.heathercourse.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** Version of this build. Stateless. */
public final class Version {
    private Version() {}

    /**
     * Returns the version that the build wrote to {@code version.properties}.
     *
     * @throws UncheckedIOException if that resource cannot be read
     */
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
