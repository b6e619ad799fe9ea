/** A simulated hosted platform: its store and its targets, over real sockets and in memory. */
package org.heathercourse.testing.hosted;
