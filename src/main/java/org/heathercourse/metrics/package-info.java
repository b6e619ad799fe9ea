/** Export of metrics as text. */
package org.heathercourse.metrics;
