package org.heathercourse.daemon.http;

/**
 * Settings of the caller port. Immutable.
 *
 * @param host address to listen on
 * @param port port to listen on; 0 lets the system choose
 * @param certificatePath PEM file with the certificate chain; empty for plain HTTP
 * @param privateKeyPath PEM file with the PKCS #8 private key; empty for plain HTTP
 * @param maxThreads most requests served at once
 * @param idleTimeoutMillis time after which an idle connection, or one whose client does not read
 *     or write, is closed
 * @param bodyLimitBytes largest request body
 * @param keepSeconds time for which callers keep an address
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

    /** Returns whether TLS is on. */
    public boolean tls() {
        return !certificatePath.isEmpty();
    }

    /** Collects the parts of {@link HttpSettings}. Not safe for several threads. */
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

        /** Sets the PEM files that turn TLS on. */
        public Builder tls(String certificatePath, String privateKeyPath) {
            mCertificatePath = certificatePath;
            mPrivateKeyPath = privateKeyPath;
            return this;
        }

        /** Sets the most requests served at once. */
        public Builder maxThreads(int maxThreads) {
            mMaxThreads = maxThreads;
            return this;
        }

        /** Sets the time after which a connection without progress is closed. */
        public Builder idleTimeoutMillis(long idleTimeoutMillis) {
            mIdleTimeoutMillis = idleTimeoutMillis;
            return this;
        }

        /** Sets the largest request body. */
        public Builder bodyLimitBytes(int bodyLimitBytes) {
            mBodyLimitBytes = bodyLimitBytes;
            return this;
        }

        /** Sets the time for which callers keep an address. */
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
