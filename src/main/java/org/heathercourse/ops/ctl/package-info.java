/** The operator's command line. */
package org.heathercourse.ops.ctl;
