/** Histories of turns that the system keeps: their composition and their retention. */
package org.heathercourse.core.history;
