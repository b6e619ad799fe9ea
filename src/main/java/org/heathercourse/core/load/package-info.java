/** Load of the targets as shared by the gateways of a fleet, and the waits that follow from it. */
package org.heathercourse.core.load;
