/** Decides whether the configuration is fresh enough to honour keys. */
package org.heathercourse.core.freshness;
