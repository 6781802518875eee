/** Length of a loan on the borrower's clock, from before it asked. */
export const LOAN_MS = 1_000;

/** Time that two monotonic clocks may drift apart over a loan. */
export const LOAN_MARGIN_MS = 50;

/**
 * Time for which a new leader lends nothing that it doesn't know to be held.
 *
 * A leader cut off from the store lends for up to one loan length after the
 * next leader's election, and what it lends ends one loan length later.
 */
export const TAKEOVER_WAIT_MS = 2 * LOAN_MS + LOAN_MARGIN_MS;
