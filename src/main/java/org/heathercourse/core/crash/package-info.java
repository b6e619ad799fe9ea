/** Recognition of requests that crash the targets that run them. */
package org.heathercourse.core.crash;
