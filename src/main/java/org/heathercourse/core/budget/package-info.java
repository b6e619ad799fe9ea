/** Token budgets of programs, enforced across all gateways and restarts. */
package org.heathercourse.core.budget;
