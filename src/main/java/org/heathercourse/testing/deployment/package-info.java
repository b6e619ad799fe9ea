/** Complete deployments on loopback, with separate processes, for tests and benches. */
package org.heathercourse.testing.deployment;
