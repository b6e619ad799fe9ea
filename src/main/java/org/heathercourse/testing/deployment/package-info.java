/** Whole deployments on loopback, as separate processes, for tests and benches. */
package org.heathercourse.testing.deployment;
