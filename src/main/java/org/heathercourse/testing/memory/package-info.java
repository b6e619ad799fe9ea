/** In-memory implementations of the table service and object store with injectable failures. */
package org.heathercourse.testing.memory;
