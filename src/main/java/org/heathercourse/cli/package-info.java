/** The command line of the product. */
package org.heathercourse.cli;
