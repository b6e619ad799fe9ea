package org.heathercourse.daemon.http;

/**
 * Settings of the caller port. Immutable.
 *
 * @param host address to listen on
 * @param port port to listen on; 0 for a port chosen by the system
 * @param certificatePath PEM file with the certificate chain; empty for plain HTTP
 * @param privateKeyPath PEM file with the PKCS #8 private key; empty for plain HTTP
 * @param maxThreads maximum number of concurrent requests
 * @param idleTimeoutMillis time in milliseconds after which a connection without progress is closed
 * @param bodyLimitBytes maximum size of a request body in bytes
 * @param keepSeconds time in seconds for which callers may keep a recommended address
 */
public record HttpSettings(
        String host,
        int port,
        String certificatePath,
        String privateKeyPath,
        int maxThreads,
        long idleTimeoutMillis,
        int bodyLimitBytes,
        int keepSeconds) {
    /** Returns settings for plain HTTP with default limits. */
    public static HttpSettings plain(String host, int port) {
        return builder().host(host).port(port).build();
    }

    /** Returns a builder with default limits. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns whether the port uses TLS. */
    public boolean isTlsEnabled() {
        return !certificatePath.isEmpty();
    }

    /** Builds {@link HttpSettings}. Not safe for use by several threads. */
    public static final class Builder {
        private String mHost = "127.0.0.1";
        private int mPort;
        private String mCertificatePath = "";
        private String mPrivateKeyPath = "";
        private int mMaxThreads = 1024;
        private long mIdleTimeoutMillis = 30_000;
        private int mBodyLimitBytes = 8 * 1024 * 1024;
        private int mKeepSeconds = 30;

        private Builder() {}

        /** Sets the address to listen on. */
        public Builder host(String host) {
            mHost = host;
            return this;
        }

        /** Sets the port to listen on. */
        public Builder port(int port) {
            mPort = port;
            return this;
        }

        /** Enables TLS with the given PEM files; two empty paths disable it. */
        public Builder tls(String certificatePath, String privateKeyPath) {
            mCertificatePath = certificatePath;
            mPrivateKeyPath = privateKeyPath;
            return this;
        }

        /** Sets the maximum number of concurrent requests. */
        public Builder maxThreads(int maxThreads) {
            mMaxThreads = maxThreads;
            return this;
        }

        /** Sets the time in milliseconds after which a connection without progress is closed. */
        public Builder idleTimeoutMillis(long idleTimeoutMillis) {
            mIdleTimeoutMillis = idleTimeoutMillis;
            return this;
        }

        /** Sets the maximum size of a request body in bytes. */
        public Builder bodyLimitBytes(int bodyLimitBytes) {
            mBodyLimitBytes = bodyLimitBytes;
            return this;
        }

        /** Sets the time in seconds for which callers may keep a recommended address. */
        public Builder keepSeconds(int keepSeconds) {
            mKeepSeconds = keepSeconds;
            return this;
        }

        /** Creates the settings. */
        public HttpSettings build() {
            return new HttpSettings(
                    mHost,
                    mPort,
                    mCertificatePath,
                    mPrivateKeyPath,
                    mMaxThreads,
                    mIdleTimeoutMillis,
                    mBodyLimitBytes,
                    mKeepSeconds);
        }
    }
}
