package org.heathercourse.core.config;

import java.util.List;

/**
 * A declared model of a model service. Immutable.
 *
 * @param model name of the model in caller requests
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
