/** Identities and small immutable values shared by all modules. */
package org.heathercourse.core.model;
