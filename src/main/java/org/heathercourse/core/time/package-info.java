/** Time sources, which tests can replace by ones that they advance explicitly. */
package org.heathercourse.core.time;
