/**
 * Lends requests of a backend server's rate limits from one VM to another. In a fleet with more VMs than a limit has
 * requests, a fixed part of the limit for each VM would be less than one request: most VMs could not use most backend
 * servers, though these are far from their limits. A few VMs hold the limit of each backend server instead, and every
 * other VM asks one of them before it sends a request. A loan counts against its lender until the latest time at which
 * the borrower may use it, so the sum over all VMs stays within the limit.
 */
import type { Backend, BackendPool } from '../backend-pool/index.ts'
import { longestElapsedMs, readInstant, type Clock } from '../clock/index.ts'
import { brandId, type BackendServerId, type VmId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { LOAN_TIMEOUT_MS, LOAN_VALIDITY_MS, MAX_LENDERS_ASKED } from './constants.ts'

export interface LoanRequest { backendServer: string }

export interface LoanResponse { isGranted: boolean }

/** Permission to send one request to a backend server, for a short time. */
export interface Loan {
  /** Whether the permission still holds; not after a pause of this process. */
  isValid(): boolean
}

export interface CapacityLoansOptions {
  pool: Pick<BackendPool, 'lend' | 'lendersOf'>
  self: VmId
  /** Whether a VM is live; others are not asked. */
  isLive(vm: VmId): boolean
  request(to: VmId, body: LoanRequest, timeoutMs: number): Promise<LoanResponse>
  clock: Clock
  metrics: Metrics
  random: () => number
}

export interface CapacityLoans {
  /** Asks lenders of a backend server for one request; resolves with `undefined` if none has one left or answers. Never rejects. */
  borrow(backend: Backend): Promise<Loan | undefined>
  /** Answers the request of another VM. */
  accept(body: unknown): LoanResponse
}

export function createCapacityLoans ({ pool, self, isLive, request, clock, metrics, random }: CapacityLoansOptions): CapacityLoans {
  /** Live lenders from a random one on, so that their loans are used evenly. */
  function chooseLenders (backend: Backend): VmId[] {
    const lenders = pool.lendersOf(backend).filter(vm => vm !== self && isLive(vm))
    const first = Math.floor(random() * lenders.length)
    return [...lenders.slice(first), ...lenders.slice(0, first)].slice(0, MAX_LENDERS_ASKED)
  }

  /** Created when it is requested, which is before the lender grants it. */
  function createLoan (): Loan {
    const requestedAt = readInstant(clock)
    return { isValid: () => longestElapsedMs(clock, requestedAt) < LOAN_VALIDITY_MS }
  }

  return {
    async borrow (backend) {
      for (const lender of chooseLenders(backend)) {
        const loan = createLoan()
        try {
          const { isGranted } = await request(lender, { backendServer: backend.entry.id }, LOAN_TIMEOUT_MS)
          metrics.count('capacity_loans', isGranted ? 'borrowed' : 'refused')
          if (isGranted) return loan
        } catch {
          metrics.count('capacity_loans', 'no_answer')
        }
      }
      return undefined
    },
    accept (body) {
      const { backendServer } = (body ?? {}) as Partial<LoanRequest>
      if (typeof backendServer !== 'string') {
        metrics.count('bad_input', 'loan_request')
        return { isGranted: false }
      }
      const isGranted = pool.lend(brandId<BackendServerId>(backendServer), LOAN_VALIDITY_MS)
      if (isGranted) metrics.count('capacity_loans', 'lent')
      return { isGranted }
    }
  }
}
