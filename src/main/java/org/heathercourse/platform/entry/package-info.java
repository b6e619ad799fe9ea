/** Interfaces that translate the wire formats of a hosted platform to the types of this project. */
package org.heathercourse.platform.entry;
