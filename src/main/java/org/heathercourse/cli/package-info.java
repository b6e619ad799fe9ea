/** Command line that starts and operates all parts of heathercourse. */
package org.heathercourse.cli;
