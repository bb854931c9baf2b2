/** Types of the budget. Amounts are in micro-units of the contract's currency. */
import type { TeamId } from '../ids/index.ts'

/** Content of the object `Spend/<team>`. */
export interface SpendSpec {
  team: TeamId
  /** Start of the spending period on the wall clock, milliseconds. */
  periodStartWallMs: number
  /** Sum of all chunks reserved by VMs, minus the amounts they returned. */
  reservedMicros: number
  /**
   * Amount reserved in this period by each run of a VM (`<vm>.<boot>`). A VM reads its own entry after a lost response
   * to determine whether its write took effect. The entry is removed when the VM returns its unused part.
   */
  holders: Record<string, number>
}

export interface SpendReservation {
  /** Settles with the actual cost; the difference goes back to the VM's chunk. Further calls have no effect. */
  settle(costMicros: number): void
}

/** Methods throw BudgetError `budget_exhausted` or `budget_unavailable`; in both cases the request has not run. */
export interface Budget {
  /** The estimate must be an upper bound of the cost; otherwise spending may exceed the limit by the difference. */
  reserve(team: TeamId, estimateMicros: number): Promise<SpendReservation>
  /** Returns the unused parts of all chunks; called on shutdown. */
  returnChunks(): Promise<void>
}
