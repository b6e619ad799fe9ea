/**
 * The declared configuration of a deployment: immutable values, their validation and comparison.
 */
package org.heathercourse.core.config;
