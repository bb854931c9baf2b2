/** Limits of the loans between VMs. */

/** Time within which a borrowed request must be sent; an answer takes a few milliseconds, or some tens from a busy VM. */
export const LOAN_VALIDITY_MS = 250
/** Timeout of a request for a loan. */
export const LOAN_TIMEOUT_MS = 120
/** Number of lenders that are asked for one backend server. */
export const MAX_LENDERS_ASKED = 3
