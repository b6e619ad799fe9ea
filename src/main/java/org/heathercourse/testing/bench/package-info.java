/** Benches. Each prints progress to standard error and one JSON line last on standard output. */
package org.heathercourse.testing.bench;
