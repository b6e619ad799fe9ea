/** Service-level burn from declared objectives. */
package org.heathercourse.core.burn;
