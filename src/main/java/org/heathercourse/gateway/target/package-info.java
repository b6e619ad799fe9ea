/** HTTP connections to targets and their pools. */
package org.heathercourse.gateway.target;
