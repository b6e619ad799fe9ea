/** The base exception and the kinds of errors. */
package org.heathercourse.core.error;
