/** A fault-injecting TCP proxy. */
package org.heathercourse.testing.proxy;
