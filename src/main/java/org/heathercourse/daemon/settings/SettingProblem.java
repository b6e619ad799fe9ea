package org.heathercourse.daemon.settings;

/**
 * A setting that cannot be used.
 *
 * @param setting name of the setting as it was given
 * @param value the value, hidden if secret
 * @param expected what was expected
 * @param remedy what to do
 */
public record SettingProblem(String setting, String value, String expected, String remedy) {
    /** Returns the problem in one line. */
    public String line() {
        return "setting " + setting + " is " + value + ", expected " + expected + "; " + remedy;
    }
}
