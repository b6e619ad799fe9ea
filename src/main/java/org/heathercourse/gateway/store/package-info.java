/** Channels from a gateway to the store: direct, and through another gateway. */
package org.heathercourse.gateway.store;
