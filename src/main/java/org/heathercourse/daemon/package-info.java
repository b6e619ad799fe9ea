/** The daemon: its entry point, start and shutdown. */
package org.heathercourse.daemon;
