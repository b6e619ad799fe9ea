/** Decides whether the configuration is fresh enough to accept keys. */
package org.heathercourse.core.freshness;
