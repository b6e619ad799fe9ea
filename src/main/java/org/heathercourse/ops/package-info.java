/** The operator's side: the gRPC service, its mapping to the configuration, and the client. */
package org.heathercourse.ops;
