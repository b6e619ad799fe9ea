/** Planned stops of a process: when it serves, when it refuses and when it exits. */
package org.heathercourse.core.drain;
