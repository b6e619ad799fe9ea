/** Validated settings from flags and environment variables. */
package org.heathercourse.daemon.settings;
