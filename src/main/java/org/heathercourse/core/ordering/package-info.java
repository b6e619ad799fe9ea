/** Orders calls across programs and keeps workspaces apart. */
package org.heathercourse.core.ordering;
