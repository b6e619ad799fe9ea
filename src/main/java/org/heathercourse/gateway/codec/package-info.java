/** Decoding of responses on connections that may also deliver parts of other responses. */
package org.heathercourse.gateway.codec;
