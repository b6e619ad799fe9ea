/** The gateways of a deployment: liveness, addresses for callers, and ownership of keys. */
package org.heathercourse.core.fleet;
