/** Time sources that tests pause and advance. */
package org.heathercourse.core.time;
