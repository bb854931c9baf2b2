/** Types of the error catalogue. */

/** Whether a request that ended with an error was executed by a backend server. */
export type RunState = 'not_run' | 'may_have_run' | 'ran'

export interface CatalogueEntry {
  message: string
  /** Action with which the caller or an operator can resolve the error. */
  hint: string
  httpStatus: number
  run: RunState
}
