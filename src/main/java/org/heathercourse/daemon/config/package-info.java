/** The configuration in force, its freshness and the keys in it. */
package org.heathercourse.daemon.config;
