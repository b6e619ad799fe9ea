/** The gateway: the process that runs on every entry VM of a hosted platform. */
package org.heathercourse.gateway;
