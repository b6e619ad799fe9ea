/**
 * Benchmarks: simulations of scheduling and rate decisions under a manual clock, and measurements
 * of local deployments of real daemons.
 */
package org.heathercourse.testing.bench;
