/**
 * Entry VM side of admission: asks the leaders of data centres for permits, registers the held permits with a new
 * leader before asking it for more, reports first bytes and releases, and admits locally while the object API is down
 * and nobody holds the lease.
 */
import type { TimerCancel } from '../clock/index.ts'
import { LacewingError } from '../errors/index.ts'
import { randomId, type DataCentreId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { ANSWER_SLACK_MS, DEFAULT_RETRY_AFTER_MS, LATE_ANSWER_MS, RELEASE_RESEND_MS, SUMMARY_PERIOD_MS } from './constants.ts'
import { createHeldPermits } from './held-permits.ts'
import { findLeaderLink, handlePermitMessages, notLeader, type LeaderLink } from './leader-link.ts'
import { createLocalAdmission } from './local-admission.ts'
import { createOutageCheck } from './outage-check.ts'
import { createPermitReports } from './permit-reports.ts'
import { createRegistration } from './registration.ts'
import { createSummaryExchange, type SummaryExchangeOptions } from './summary-exchange.ts'
import type { Permit, PermitAnswer, PermitClient, PermitRequest } from './types.ts'

export interface PermitClientOptions extends Omit<SummaryExchangeOptions, 'onLeader'> {
  metrics: Metrics
  log: Log
  /** Whether the object API answers; local admission starts only while it does not. */
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

  const registration = createRegistration({ identity, held, linkOf, onRegistered: dataCentre => local.reset(dataCentre) })
  const reports = createPermitReports({
    currentEpoch: registration.epoch,
    async send (dataCentre, report) {
      const link = linkOf(dataCentre)
      return link ? link.report(report) : { accepted: false }
    }
  })
  const exchange = createSummaryExchange({ ...options, onLeader: dataCentre => { void registration.ensure(dataCentre) } })
  const outage = createOutageCheck({ lease, membership, exchange, objectApiAvailable, leaseTtlMs, clock })
  const local = createLocalAdmission({ vm: identity.vm, view, membership, clock, held: held.all, permitStartMs, retryBudgetShare })

  handlePermitMessages(options)
  membership.onChange(({ vm, state }) => {
    if (state !== 'dead') return
    for (const dataCentre of dataCentres()) schedulers(dataCentre)?.memberDead(vm)
  })

  function dataCentres (): DataCentreId[] {
    return view.list('DataCentre').map(({ name }) => name as DataCentreId)
  }

  async function acquire (dataCentre: DataCentreId, request: PermitRequest): Promise<PermitAnswer> {
    if (outage.mayAdmitLocally(dataCentre)) return admitLocally(dataCentre, request)
    const link = linkOf(dataCentre)
    if (!link || !await registration.ensure(dataCentre)) return notLeader()
    return ask(dataCentre, link, request)
  }

  function admitLocally (dataCentre: DataCentreId, request: PermitRequest): PermitAnswer {
    const answer = local.admit(dataCentre, request, exchange.latest(dataCentre)!.summary)
    metrics.count('local_admission', answer.granted ? 'granted' : answer.refusal.reason)
    if (answer.granted) hold(answer.permit, request, clock.now() + permitStartMs)
    return answer
  }

  function hold (permit: Permit, { team, fingerprint, suspect }: PermitRequest, startDeadline: number): void {
    held.add({ permit, team, fingerprint, suspect, startDeadline, firstByteSeen: false })
  }

  async function ask (dataCentre: DataCentreId, link: LeaderLink, request: PermitRequest): Promise<PermitAnswer> {
    const id = randomId(identity.vm)
    const askedAt = clock.now()
    let isLate = false
    const answered = link.request(id, request, request.waitMs + LATE_ANSWER_MS).then(
      answer => receive(answer, request, askedAt, isLate),
      error => lost(dataCentre, link.epoch, id, error)
    )
    let cancel: TimerCancel = () => {}
    const expired = new Promise<PermitAnswer>(resolve => {
      cancel = clock.after(request.waitMs + ANSWER_SLACK_MS, () => {
        isLate = true
        reports.add(dataCentre, link.epoch, { abandoned: [id] })
        resolve(late('no_answer'))
      })
    })
    const answer = await Promise.race([answered, expired])
    cancel()
    return answer
  }

  /** Keeps a granted permit, or gives it back when it came too late to start. */
  function receive (answer: PermitAnswer, request: PermitRequest, askedAt: number, isLate: boolean): PermitAnswer {
    if (!answer.granted) return answer
    const { permit, queuedMs } = answer
    // The leader granted no earlier than this, so the deadline holds however long the answer travelled.
    const startDeadline = askedAt + queuedMs + permit.startWithinMs
    const isObsolete = permit.epoch < registration.epoch(permit.dataCentre)
    if (!isLate && !isObsolete && clock.now() < startDeadline) {
      hold(permit, request, startDeadline)
      return answer
    }
    reports.add(permit.dataCentre, permit.epoch, { releases: [{ id: permit.id, outcome: 'not_sent' }] })
    return late('late_answer')
  }

  /** The call failed; unless it was not delivered, the leader may have granted a permit that has to be withdrawn. */
  function lost (dataCentre: DataCentreId, epoch: number, id: string, error: unknown): PermitAnswer {
    const kind = error instanceof LacewingError ? error.kind : 'internal'
    metrics.count('permits_refused', kind)
    if (kind !== 'peer_unreachable') reports.add(dataCentre, epoch, { abandoned: [id] })
    return notLeader()
  }

  function late (reason: 'no_answer' | 'late_answer'): PermitAnswer {
    metrics.count('permits_refused', reason)
    return { granted: false, refusal: { reason: 'deadline', retryAfterMs: DEFAULT_RETRY_AFTER_MS, passedOver: [] } }
  }

  /** Epoch under which the leader knows a held permit: the latest one it was registered with. */
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
      local.firstByte(permit, instance)
      reports.add(permit.dataCentre, epochOf(permit), { firstBytes: [{ id: permit.id, instance }] })
    },
    release (permit, release) {
      if (!held.remove(permit.id)) return
      local.released(permit, release.outcome, release.instance)
      reports.add(permit.dataCentre, epochOf(permit), { releases: [{ id: permit.id, ...release }] })
    },
    summaries: exchange.fresh,
    heldCount: held.size,
    start () {
      timers.push(clock.every(SUMMARY_PERIOD_MS, tick), clock.every(RELEASE_RESEND_MS, reports.resend))
      log.debug('permit client started', { vm: identity.vm })
      tick()
    },
    stop () {
      for (const cancel of timers.splice(0)) cancel()
    }
  }
}
