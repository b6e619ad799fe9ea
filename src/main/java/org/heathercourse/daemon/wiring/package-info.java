/** Dependency injection of the daemon. */
package org.heathercourse.daemon.wiring;
