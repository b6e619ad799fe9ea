/** The declared configuration: immutable values and their validation. */
package org.heathercourse.core.config;
