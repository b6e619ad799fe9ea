package org.heathercourse.gateway.control;

import java.time.Clock;
import org.heathercourse.gateway.history.HistoryMetrics;

/**
 * What the histories of turns need beyond the collaborators of the control plane. Immutable.
 *
 * @param wallClock clock of the ends of retentions
 * @param metrics metrics of histories
 * @param maxHistoryBytes maximum size of a history in bytes
 */
public record HistoryOptions(Clock wallClock, HistoryMetrics metrics, long maxHistoryBytes) {}
