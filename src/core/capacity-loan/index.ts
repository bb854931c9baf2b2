/**
 * Lends requests of a backend server's rate limits from one VM to another. In a fleet with more VMs than a limit has
 * requests, a fixed part of the limit for each VM would be less than one request: most VMs could not use most backend
 * servers, though these are far from their limits. A few VMs hold the limit of each backend server instead, and every
 * other VM asks one of them before it sends a request. A loan counts against its lender until the latest time at which
 * the borrower may use it, so the sum over all VMs stays within the limit. The slot of a brittle backend server is lent
 * until the borrower returns it.
 */
import type { Backend, BackendPool, SlotLoanResult } from '../backend-pool/index.ts'
import { longestElapsedMs, readInstant, type Clock } from '../clock/index.ts'
import { brandId, type BackendServerId, type VmId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { LOAN_TIMEOUT_MS, LOAN_VALIDITY_MS, MAX_LENDERS_ASKED, MAX_SLOT_LOAN_MS, SLOT_LOAN_MS } from './constants.ts'

export interface LoanRequest {
  backendServer: string
  /** Name of the loan, chosen by the borrower, and longest time for which it needs a slot. */
  loan?: string
  forMs?: number
}

export interface LoanReturn {
  backendServer: string
  loan: string
  result: SlotLoanResult
}

export interface LoanResponse { isGranted: boolean }

/** Permission to send one request to a backend server, for a short time. */
export interface Loan {
  /** Whether the permission still holds; not after a pause of this process. */
  isValid(): boolean
  /** Returns the slot of a brittle backend server to its lender. */
  end(use: 'used' | 'unused'): void
}

export interface CapacityLoansOptions {
  pool: Pick<BackendPool, 'lend' | 'lendersOf' | 'endSlotLoan'> & { brittle: Pick<BackendPool['brittle'], 'tolerated' | 'isPaused'> }
  self: VmId
  /** Whether a VM is live; others are not asked. */
  isLive(vm: VmId): boolean
  request(to: VmId, body: LoanRequest, timeoutMs: number): Promise<LoanResponse>
  /** Tells a lender that a loan has ended. Default: loans end with their time. */
  notify?: (to: VmId, body: LoanReturn) => void
  clock: Clock
  metrics: Metrics
  random: () => number
}

export interface CapacityLoans {
  /** Asks lenders of a backend server for one request; resolves with `undefined` if none has one left or answers. Never rejects. */
  borrow(backend: Backend, slotMs?: number): Promise<Loan | undefined>
  /** Answers the request of another VM. */
  accept(body: unknown): LoanResponse
  /** Takes back the slot that another VM returns. */
  acceptReturn(body: unknown): void
}

const RESULTS: ReadonlySet<unknown> = new Set<SlotLoanResult>(['accepted', 'rejected', 'unused'])

export function createCapacityLoans ({ pool, self, isLive, request, notify = () => {}, clock, metrics, random }: CapacityLoansOptions): CapacityLoans {
  let loanCount = 0
  /** Distinguishes this process from one that had the same name before. */
  const borrower = `${self}/${Math.floor(random() * 2 ** 32)}`

  /** Live lenders from a random one on, so that their loans are used evenly. */
  function chooseLenders (backend: Backend): VmId[] {
    const lenders = pool.lendersOf(backend).filter(vm => vm !== self && isLive(vm))
    const first = Math.floor(random() * lenders.length)
    return [...lenders.slice(first), ...lenders.slice(0, first)].slice(0, MAX_LENDERS_ASKED)
  }

  /** Created when it is requested, which is before the lender grants it. */
  function createLoan (end: Loan['end']): Loan {
    const requestedAt = readInstant(clock)
    return { end, isValid: () => longestElapsedMs(clock, requestedAt) < LOAN_VALIDITY_MS }
  }

  return {
    async borrow (backend, slotMs = SLOT_LOAN_MS) {
      const { entry } = backend
      const isSlot = pool.brittle.tolerated(entry) !== undefined
      for (const lender of chooseLenders(backend)) {
        const name = isSlot ? `${borrower}/${loanCount++}` : undefined
        const loan = createLoan(use => {
          const result = use === 'unused' ? use : pool.brittle.isPaused(entry.id) ? 'rejected' : 'accepted'
          if (name !== undefined) notify(lender, { backendServer: entry.id, loan: name, result })
        })
        try {
          const { isGranted } = await request(lender, { backendServer: entry.id, ...name !== undefined && { loan: name, forMs: Math.ceil(slotMs) } }, LOAN_TIMEOUT_MS)
          metrics.count('capacity_loans', isGranted ? 'borrowed' : 'refused')
          if (isGranted) return loan
        } catch {
          metrics.count('capacity_loans', 'no_answer')
          loan.end('unused')
        }
      }
      return undefined
    },
    accept (body) {
      const { backendServer, loan, forMs = SLOT_LOAN_MS } = (body ?? {}) as Partial<LoanRequest>
      if (typeof backendServer !== 'string' || (loan !== undefined && typeof loan !== 'string') || !(forMs >= 0 && forMs <= MAX_SLOT_LOAN_MS)) {
        metrics.count('bad_input', 'loan_request')
        return { isGranted: false }
      }
      const isGranted = pool.lend(brandId<BackendServerId>(backendServer), LOAN_VALIDITY_MS, loan === undefined ? undefined : { loan, forMs })
      if (isGranted) metrics.count('capacity_loans', 'lent')
      return { isGranted }
    },
    acceptReturn (body) {
      const { backendServer, loan, result } = (body ?? {}) as Partial<LoanReturn>
      if (typeof backendServer !== 'string' || typeof loan !== 'string' || !RESULTS.has(result)) return metrics.count('bad_input', 'loan_return')
      pool.endSlotLoan(brandId<BackendServerId>(backendServer), loan, result!)
    }
  }
}
