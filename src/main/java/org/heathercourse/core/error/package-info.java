/** The exception root and the kinds of errors. */
package org.heathercourse.core.error;
