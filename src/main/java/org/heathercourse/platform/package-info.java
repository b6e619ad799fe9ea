/** One narrow interface for each outside service. */
package org.heathercourse.platform;
