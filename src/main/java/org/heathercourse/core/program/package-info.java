/** Log records and the state of programs that is folded from them. */
package org.heathercourse.core.program;
