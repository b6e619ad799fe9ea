/** The operator service over gRPC, its mapping to the configuration, and its client. */
package org.heathercourse.ops;
