/** Storage and distribution of the configuration, its freshness, and authentication by its keys. */
package org.heathercourse.daemon.config;
