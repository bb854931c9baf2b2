/**
 * Reports request outcomes to the region's controller. Each VM counts the outcomes of its requests to the two versions
 * of a roll-out and sends cumulative totals since the roll-out began, so a lost or repeated report has no effect. A new
 * controller has all totals after one period, except those of VMs that have died.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import type { ConfigEntry, ConfigView } from '../config/types.ts'
import type { VmId } from '../ids/index.ts'
import type { Membership } from '../membership/types.ts'
import type { PeerLinks } from '../peer/types.ts'
import type { VersionOutcome } from '../routing/types.ts'
import type { VmIdentity } from '../settings/index.ts'
import { REPORT_PERIOD_MS, REPORT_PERIOD_PER_VM_MS } from './constants.ts'
import { addTallies, countOutcome, emptyRolloutTally } from './tally.ts'
import type { OutcomeReport, Outcomes, RolloutTally } from './types.ts'

export interface OutcomeReports extends Outcomes {
  observe(outcome: VersionOutcome): void
  start(): void
  stop(): void
}

export interface OutcomeReportsOptions {
  identity: VmIdentity
  view: ConfigView
  peers: PeerLinks
  membership: Membership
  /** VM that controls the region's roll-outs; `undefined` while there is none. */
  controller: () => VmId | undefined
  clock: Clock
}

type RolloutEntry = ConfigEntry<'Rollout'>

interface OwnOutcomes { pair: string, tally: RolloutTally, changed: boolean }
interface ReceivedReports { pair: string, tallies: Map<string, RolloutTally> }

export function createOutcomeReports (options: OutcomeReportsOptions): OutcomeReports {
  const { identity, view, peers, membership, controller, clock } = options
  const counted = new Map<string, OwnOutcomes>()
  const received = new Map<string, ReceivedReports>()
  let lastController: VmId | undefined
  let stopTimer: TimerCancel | undefined
  let lastSentMs = -Infinity

  peers.handle('rollout.outcomes', body => acceptReport(body as OutcomeReport))

  /** Outcomes of a roll-out in progress. Drops them when it ends; a roll-out of another pair of versions starts from 0. */
  function currentOutcomes ({ name, spec }: RolloutEntry): OwnOutcomes | undefined {
    const pair = pairOf(spec)
    if (spec.state !== 'running' && spec.state !== 'paused') {
      counted.delete(name)
      received.delete(name)
      return undefined
    }
    const existing = counted.get(name)
    if (existing?.pair === pair) return existing
    const outcomes = { pair, tally: emptyRolloutTally(), changed: false }
    counted.set(name, outcomes)
    received.delete(name)
    return outcomes
  }

  function acceptReport ({ rollout, pair, vm, boot, tally }: OutcomeReport): void {
    const entry = view.entry('Rollout', rollout)
    if (!entry || pairOf(entry.spec) !== pair || !currentOutcomes(entry)) return
    const reports = received.get(rollout) ?? { pair, tallies: new Map<string, RolloutTally>() }
    received.set(rollout, reports)
    reports.tallies.set(`${vm}.${boot}`, tally)
  }

  function send (): void {
    const controllerVm = controller()
    const isNewController = controllerVm !== lastController
    lastController = controllerVm
    if (controllerVm === undefined || controllerVm === identity.vm) return
    // VMs of a large region report less often, so that the controller's links stay within the budget for control traffic.
    const periodMs = Math.max(REPORT_PERIOD_MS, membership.members().length * REPORT_PERIOD_PER_VM_MS)
    if (!isNewController && clock.now() - lastSentMs < periodMs) return
    lastSentMs = clock.now()
    for (const entry of view.list('Rollout')) {
      const ownOutcomes = currentOutcomes(entry)
      if (!ownOutcomes || !(ownOutcomes.changed || isNewController)) continue
      ownOutcomes.changed = false
      const report: OutcomeReport = { rollout: entry.name, pair: ownOutcomes.pair, vm: identity.vm, boot: identity.boot, tally: ownOutcomes.tally }
      peers.notify(controllerVm, 'rollout.outcomes', report)
    }
  }

  return {
    observe (outcome) {
      for (const entry of view.list('Rollout')) {
        const isTo = entry.spec.to === outcome.version
        if (!isTo && entry.spec.from !== outcome.version) continue
        const ownOutcomes = currentOutcomes(entry)
        if (!ownOutcomes) continue
        countOutcome(isTo ? ownOutcomes.tally.to : ownOutcomes.tally.from, outcome)
        ownOutcomes.changed = true
      }
    },
    total (rollout) {
      const entry = view.entry('Rollout', rollout)
      const ownOutcomes = entry && currentOutcomes(entry)
      if (!ownOutcomes) return undefined
      const tallies = [ownOutcomes.tally, ...received.get(rollout)?.tallies.values() ?? []]
      return tallies.reduce((sum, tally) => ({ from: addTallies(sum.from, tally.from), to: addTallies(sum.to, tally.to) }), emptyRolloutTally())
    },
    start () {
      stopTimer ??= clock.every(REPORT_PERIOD_MS, send)
    },
    stop () {
      stopTimer?.()
      stopTimer = undefined
    }
  }
}

function pairOf ({ from, to }: RolloutEntry['spec']): string {
  return `${from} ${to}`
}
