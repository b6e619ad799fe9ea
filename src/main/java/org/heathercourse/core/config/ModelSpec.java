package org.heathercourse.core.config;

import java.util.List;

/**
 * A declared model.
 *
 * @param model name of the model as callers use it
 * @param version version of the weights
 * @param sizeBytes size of the weights in bytes
 * @param adapters names of adapters that targets may load for it
 */
public record ModelSpec(String model, String version, long sizeBytes, List<String> adapters) {
    /** Copies the list of adapters. */
    public ModelSpec {
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
    }
}
