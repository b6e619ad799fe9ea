/** Interfaces to the outside services: stores, VM list, model engines and plain services. */
package org.heathercourse.platform;
