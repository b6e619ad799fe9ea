/** Decides how a request continues after an attempt at a target has ended. */
package org.heathercourse.core.attempt;
