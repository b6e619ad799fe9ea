/** Storage of the histories of turns in the rows of the platform's store. */
package org.heathercourse.gateway.history;
