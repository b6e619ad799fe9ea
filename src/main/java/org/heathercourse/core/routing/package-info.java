/** Maps requests of callers to routes, services, workspaces and limits. */
package org.heathercourse.core.routing;
