/**
 * Duration of a loan, measured on the borrower's clock from before it sent its
 * report.
 */
export const LOAN_MS = 1_000;

/** Allowance for drift between two monotonic clocks during a loan. */
export const LOAN_MARGIN_MS = 50;

/**
 * Time after a takeover during which a new leader lends no additional slots.
 *
 * A previous leader that is cut off from the store may go on lending for up to
 * one loan duration after the election of the next leader, and its last loan
 * ends one loan duration later.
 */
export const TAKEOVER_WAIT_MS = 2 * LOAN_MS + LOAN_MARGIN_MS;
