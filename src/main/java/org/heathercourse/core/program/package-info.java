/** Log records and the state of programs that results from replaying them. */
package org.heathercourse.core.program;
