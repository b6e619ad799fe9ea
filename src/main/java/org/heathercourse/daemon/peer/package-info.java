/** Links between daemons: framed MessagePack over TCP. */
package org.heathercourse.daemon.peer;
