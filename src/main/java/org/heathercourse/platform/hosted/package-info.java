/**
 * Adapter for one hosted platform: translates its names, formats and store calls to the types of
 * this project, without any decisions of its own.
 */
package org.heathercourse.platform.hosted;
