/** Byte-level processing of event streams. */
package org.heathercourse.core.stream;
