/** Tracks the targets of the gateways and selects one for each request. */
package org.heathercourse.core.target;
