/** Orders calls by attained service of programs and fair shares of workspaces. */
package org.heathercourse.core.ordering;
