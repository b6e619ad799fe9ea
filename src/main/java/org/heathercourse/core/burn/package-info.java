/** Error budget burn of the declared service-level objectives. */
package org.heathercourse.core.burn;
