package org.heathercourse.core.config;

/** Kinds of services. */
public enum ServiceKind {
    /** Served by model engines with the chat completions API. */
    MODEL,
    /** Any other HTTP service, including tool services. */
    PLAIN
}
