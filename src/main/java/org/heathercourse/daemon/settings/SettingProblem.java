package org.heathercourse.daemon.settings;

/**
 * A missing or invalid setting. Immutable.
 *
 * @param setting flag or environment variable of the setting
 * @param value the value, masked if secret
 * @param expected description of the valid values
 * @param remedy how to resolve the problem
 */
public record SettingProblem(String setting, String value, String expected, String remedy) {
    /** Returns the problem as one line of text. */
    public String line() {
        return "setting " + setting + " is " + value + ", expected " + expected + "; " + remedy;
    }
}
