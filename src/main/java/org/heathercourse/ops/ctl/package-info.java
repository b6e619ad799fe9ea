/** The operator's command line, a client of the operator service. */
package org.heathercourse.ops.ctl;
