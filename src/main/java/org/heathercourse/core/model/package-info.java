/** Identities and other immutable values shared by all packages. */
package org.heathercourse.core.model;
