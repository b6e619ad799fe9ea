package org.heathercourse.core.config;

/** Kinds of services. */
public enum ServiceKind {
    /** Served by model engines that speak chat completions. */
    MODEL,
    /** Any other HTTP service; tool services are plain services too. */
    PLAIN
}
