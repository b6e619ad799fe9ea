/**
 * Callers as seen from outside: a client that fails over, and programs that check their answers.
 */
package org.heathercourse.testing.load;
