/** Non-blocking interface of gateways to a shared store of versioned rows. */
package org.heathercourse.platform.rows;
