package org.heathercourse.core.budget;

/**
 * The stored row with the tokens taken from a program's budget. Immutable.
 *
 * @param takenTokens tokens that gateways have taken, whether used or not
 * @param writer identity of the write that stored this row; a gateway that lost the reply to its
 *     write compares it to detect whether the write took effect
 */
public record BudgetRow(long takenTokens, String writer) {
    /** Value for a program that has no row. */
    public static final BudgetRow ABSENT = new BudgetRow(0, "");
}
