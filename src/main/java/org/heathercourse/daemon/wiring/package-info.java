/** Puts the parts of a daemon together. */
package org.heathercourse.daemon.wiring;
