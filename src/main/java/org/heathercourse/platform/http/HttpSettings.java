package org.heathercourse.platform.http;

/**
 * Settings of the HTTP adapters. Immutable.
 *
 * @param connectTimeoutMillis timeout for opening a connection, in milliseconds
 * @param readTimeoutMillis maximum time between two bytes of a response, in milliseconds
 * @param writeTimeoutMillis maximum time in which no byte of a request can be sent, in milliseconds
 * @param callTimeoutMillis timeout of a whole blocking exchange with a store or an engine, in
 *     milliseconds; plain requests and streams carry their own limit
 */
public record HttpSettings(
        long connectTimeoutMillis,
        long readTimeoutMillis,
        long writeTimeoutMillis,
        long callTimeoutMillis) {
    /** Returns a builder with the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds settings. Not safe for use by several threads. */
    public static final class Builder {
        private long mConnectTimeoutMillis = 1_000;
        private long mReadTimeoutMillis = 3_000;
        private long mWriteTimeoutMillis = 3_000;
        private long mCallTimeoutMillis = 5_000;

        private Builder() {}

        /** Sets the timeout for opening a connection, in milliseconds. */
        public Builder connectTimeoutMillis(long millis) {
            mConnectTimeoutMillis = millis;
            return this;
        }

        /** Sets the maximum time between two bytes of a response, in milliseconds. */
        public Builder readTimeoutMillis(long millis) {
            mReadTimeoutMillis = millis;
            return this;
        }

        /** Sets the maximum time in which no byte of a request can be sent, in milliseconds. */
        public Builder writeTimeoutMillis(long millis) {
            mWriteTimeoutMillis = millis;
            return this;
        }

        /** Sets the timeout of a whole blocking exchange, in milliseconds. */
        public Builder callTimeoutMillis(long millis) {
            mCallTimeoutMillis = millis;
            return this;
        }

        /** Creates the settings. */
        public HttpSettings build() {
            return new HttpSettings(
                    mConnectTimeoutMillis,
                    mReadTimeoutMillis,
                    mWriteTimeoutMillis,
                    mCallTimeoutMillis);
        }
    }
}
