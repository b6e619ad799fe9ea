/** HTTP servers of a gateway: the port for callers and the gateway's own endpoints. */
package org.heathercourse.gateway.http;
