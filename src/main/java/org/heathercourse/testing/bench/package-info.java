/** Benches of the scheduling decisions under a paused clock. */
package org.heathercourse.testing.bench;
