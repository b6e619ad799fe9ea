/** In-memory stand-ins for the table service and the object store, with switches for failures. */
package org.heathercourse.testing.memory;
