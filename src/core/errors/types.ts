/** Types of the error catalogue. */

/** Whether a request that ended with an error reached a backend server. */
export type RunState = 'not_run' | 'may_have_run' | 'ran'

export interface CatalogueEntry {
  message: string
  /** What the reader of the error can do about it. */
  hint: string
  httpStatus: number
  run: RunState
}
