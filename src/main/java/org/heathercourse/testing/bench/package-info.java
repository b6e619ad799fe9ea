/** Benches that run parts of the system and print one line of JSON. */
package org.heathercourse.testing.bench;
