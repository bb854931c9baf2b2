/**
 * Entry VM side of admission: requests permits from the leaders of data centres, registers the held permits with a new
 * leader before requesting more from it, reports first bytes and releases, and admits locally while the object API is
 * down and no VM holds the lease.
 */
import type { TimerCancel } from '../clock/index.ts'
import { LacewingError } from '../errors/index.ts'
import { randomId, type DataCentreId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { ANSWER_GRACE_MS, DEFAULT_RETRY_AFTER_MS, LATE_ANSWER_TIMEOUT_MS, REPORT_RESEND_PERIOD_MS, SUMMARY_PERIOD_MS } from './constants.ts'
import { createHeldPermits } from './held-permits.ts'
import { findLeaderLink, handlePermitMessages, notLeaderRefusal, type LeaderLink } from './leader-link.ts'
import { createLocalAdmission } from './local-admission.ts'
import { createOutageCheck } from './outage-check.ts'
import { createPermitReports } from './permit-reports.ts'
import { createRegistration } from './registration.ts'
import { createSummaryExchange, type SummaryExchangeOptions } from './summary-exchange.ts'
import type { Permit, PermitAnswer, PermitClient, PermitRequest } from './types.ts'

export interface PermitClientOptions extends Omit<SummaryExchangeOptions, 'onLeader'> {
  metrics: Metrics
  log: Log
  /** Whether the object API answers. Local admission is allowed only while it does not. */
  objectApiAvailable?: () => boolean
  leaseTtlMs?: number
  permitStartMs?: number
  retryBudgetShare?: number
}

export function createPermitClient (options: PermitClientOptions): PermitClient {
  const {
    identity, lease, membership, view, schedulers, clock, metrics, log, objectApiAvailable = () => false,
    leaseTtlMs = 6000, permitStartMs = 1000, retryBudgetShare = 0.1
  } = options
  const held = createHeldPermits()
  const timers: TimerCancel[] = []
  const linkOf = (dataCentre: DataCentreId): LeaderLink | undefined => findLeaderLink(dataCentre, options)

  const registration = createRegistration({ identity, held, linkOf, onRegistered: dataCentre => localAdmission.reset(dataCentre) })
  const reports = createPermitReports({
    currentEpoch: registration.epoch,
    async send (dataCentre, report) {
      const link = linkOf(dataCentre)
      return link ? link.report(report) : { accepted: false }
    }
  })
  const exchange = createSummaryExchange({ ...options, onLeader: dataCentre => { void registration.ensure(dataCentre) } })
  const outageCheck = createOutageCheck({ lease, membership, exchange, objectApiAvailable, leaseTtlMs, clock })
  const localAdmission = createLocalAdmission({ vm: identity.vm, view, membership, clock, held: held.all, permitStartMs, retryBudgetShare })

  handlePermitMessages(options)
  membership.onChange(({ vm, state }) => {
    if (state !== 'dead') return
    for (const dataCentre of dataCentres()) schedulers(dataCentre)?.handleMemberDeath(vm)
  })

  function dataCentres (): DataCentreId[] {
    return view.list('DataCentre').map(({ name }) => name as DataCentreId)
  }

  async function acquire (dataCentre: DataCentreId, request: PermitRequest): Promise<PermitAnswer> {
    if (outageCheck.mayAdmitLocally(dataCentre)) return admitLocally(dataCentre, request)
    const link = linkOf(dataCentre)
    if (!link || !await registration.ensure(dataCentre)) return notLeaderRefusal()
    return requestPermit(dataCentre, link, request)
  }

  function admitLocally (dataCentre: DataCentreId, request: PermitRequest): PermitAnswer {
    const answer = localAdmission.admit(dataCentre, request, exchange.latest(dataCentre)!.summary)
    metrics.count('local_admission', answer.granted ? 'granted' : answer.refusal.reason)
    if (answer.granted) hold(answer.permit, request, clock.now() + permitStartMs)
    return answer
  }

  function hold (permit: Permit, { team, fingerprint, suspect }: PermitRequest, startDeadline: number): void {
    held.add({ permit, team, fingerprint, suspect, startDeadline, firstByteSeen: false })
  }

  async function requestPermit (dataCentre: DataCentreId, link: LeaderLink, request: PermitRequest): Promise<PermitAnswer> {
    const callId = randomId(identity.vm)
    const requestedAt = clock.now()
    let isLate = false
    const callOutcome = link.request(callId, request, request.waitMs + LATE_ANSWER_TIMEOUT_MS).then(
      answer => acceptAnswer(answer, request, requestedAt, isLate),
      error => handleFailedCall(dataCentre, link.epoch, callId, error)
    )
    let cancel: TimerCancel = () => {}
    const timedOut = new Promise<PermitAnswer>(resolve => {
      cancel = clock.after(request.waitMs + ANSWER_GRACE_MS, () => {
        isLate = true
        reports.add(dataCentre, link.epoch, { abandoned: [callId] })
        resolve(lateRefusal('no_answer'))
      })
    })
    const answer = await Promise.race([callOutcome, timedOut])
    cancel()
    return answer
  }

  /** Keeps a granted permit, or releases it when it arrived too late or from a leader that has been replaced. */
  function acceptAnswer (answer: PermitAnswer, request: PermitRequest, requestedAt: number, isLate: boolean): PermitAnswer {
    if (!answer.granted) return answer
    const { permit, queuedMs } = answer
    // The grant was not earlier than `requestedAt + queuedMs`, so this deadline is never too late, however long the
    // answer was in transit.
    const startDeadline = requestedAt + queuedMs + permit.startWithinMs
    const isObsolete = permit.epoch < registration.epoch(permit.dataCentre)
    if (!isLate && !isObsolete && clock.now() < startDeadline) {
      hold(permit, request, startDeadline)
      return answer
    }
    reports.add(permit.dataCentre, permit.epoch, { releases: [{ id: permit.id, outcome: 'not_sent' }] })
    return lateRefusal('late_answer')
  }

  /** Refuses after a failed call, and abandons the call if it may have been delivered, since a permit may exist then. */
  function handleFailedCall (dataCentre: DataCentreId, epoch: number, callId: string, error: unknown): PermitAnswer {
    const kind = error instanceof LacewingError ? error.kind : 'internal'
    metrics.count('permits_refused', kind)
    if (kind !== 'peer_unreachable') reports.add(dataCentre, epoch, { abandoned: [callId] })
    return notLeaderRefusal()
  }

  function lateRefusal (reason: 'no_answer' | 'late_answer'): PermitAnswer {
    metrics.count('permits_refused', reason)
    return { granted: false, refusal: { reason: 'deadline', retryAfterMs: DEFAULT_RETRY_AFTER_MS, passedOver: [] } }
  }

  /** Epoch for reports about a held permit: that of the latest leader it was registered with, or of its grant. */
  function epochOf (permit: Permit): number {
    return Math.max(permit.epoch, registration.epoch(permit.dataCentre))
  }

  function tick (): void {
    exchange.send()
    for (const dataCentre of dataCentres()) void registration.ensure(dataCentre)
  }

  return {
    acquire,
    mayStart (permit) {
      const record = held.get(permit.id)
      return record !== undefined && clock.now() < record.startDeadline
    },
    reportFirstByte (permit, instance) {
      const record = held.get(permit.id)
      if (!record) return
      record.firstByteSeen = true
      localAdmission.recordFirstByte(permit, instance)
      reports.add(permit.dataCentre, epochOf(permit), { firstBytes: [{ id: permit.id, instance }] })
    },
    release (permit, release) {
      if (!held.remove(permit.id)) return
      localAdmission.recordRelease(permit, release.outcome, release.instance)
      reports.add(permit.dataCentre, epochOf(permit), { releases: [{ id: permit.id, ...release }] })
    },
    summaries: exchange.fresh,
    heldCount: held.size,
    start () {
      timers.push(clock.every(SUMMARY_PERIOD_MS, tick), clock.every(REPORT_RESEND_PERIOD_MS, reports.resend))
      log.debug('permit client started', { vm: identity.vm })
      tick()
    },
    stop () {
      for (const cancel of timers.splice(0)) cancel()
    }
  }
}
