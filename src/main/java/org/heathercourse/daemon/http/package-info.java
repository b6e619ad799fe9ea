/** The HTTP servers of the caller port and the admin port. */
package org.heathercourse.daemon.http;
