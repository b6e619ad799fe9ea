/** Admission control: refuses calls early that targets cannot serve in time. */
package org.heathercourse.core.admission;
