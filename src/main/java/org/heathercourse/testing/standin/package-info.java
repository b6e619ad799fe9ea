/** Small stand-ins for the outside services, hosted in one process, with switches for faults. */
package org.heathercourse.testing.standin;
