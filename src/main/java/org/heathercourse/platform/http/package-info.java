/** Implementations of the platform interfaces over HTTP and JSON. */
package org.heathercourse.platform.http;
