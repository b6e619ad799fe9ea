/** Limits retries and hedged calls. */
package org.heathercourse.core.retry;
