package org.heathercourse.core.history;

/**
 * The history that a turn continues: the inputs and outputs of a chain of turns, as a target
 * receives them before the new input. Immutable and safe for use by several threads.
 */
public interface History {
    /** Returns the inputs and outputs of all turns of the chain, oldest first; a copy. */
    byte[] body();

    /** Returns the size of {@link #body()} in bytes. */
    long sizeBytes();
}
