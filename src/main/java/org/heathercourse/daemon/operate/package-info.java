/** What a daemon shows to operators. */
package org.heathercourse.daemon.operate;
