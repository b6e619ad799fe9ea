/** Benches of single parts. */
package org.heathercourse.testing.bench;
