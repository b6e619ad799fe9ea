/** The life cycle of a caller's request: admission, attempts at targets and the response. */
package org.heathercourse.gateway.call;
