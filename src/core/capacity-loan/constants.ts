/** Limits of the loans between VMs. */

/** Time within which a borrowed request must be sent; an answer takes a few milliseconds, or some tens from a busy VM. */
export const LOAN_VALIDITY_MS = 250
/** Timeout of a request for a loan. */
export const LOAN_TIMEOUT_MS = 120
/** Time for which a slot of a brittle backend server is lent if the time left of the request is not known. */
export const SLOT_LOAN_MS = 20_000
/** Longest time for which another VM may borrow a slot; a longer one is taken for an error. */
export const MAX_SLOT_LOAN_MS = 600_000
/** Number of lenders that are asked for one backend server. */
export const MAX_LENDERS_ASKED = 3
