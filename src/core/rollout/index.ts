/**
 * Controller of roll-outs. The Rollout object is the record: the controller writes what it decided there first, then
 * the weights of the two versions, then that they are written. A controller that takes over continues from the record.
 * Every write is conditional, so an operator's change wins over one that the controller based on the older object.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import type { ConfigEntry, ConfigSpecs } from '../config/types.ts'
import { errorMessage, LacewingError } from '../errors/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ConfigKind } from '../object-api/types.ts'
import { CONTROLLER_PERIOD_MS, DEFAULT_TEST_POLICY } from './constants.ts'
import { createJudge, type Judge } from './judge.ts'
import { nextStep, type Step } from './steps.ts'
import type { Outcomes, RolloutConfig, RolloutController, TestPolicy } from './types.ts'

export { createOutcomeReports, type OutcomeReports } from './outcome-reports.ts'
export type * from './types.ts'

export interface RolloutControllerOptions {
  config: RolloutConfig
  /** Whether this VM controls the region's roll-outs; asked immediately before each write. */
  isController: () => boolean
  outcomes: Outcomes
  testPolicy?: TestPolicy
  periodMs?: number
  clock: Clock
  metrics: Metrics
  log: Log
}

/** What this controller knows about the stage in progress. A new controller begins the stage's minimum anew. */
interface Progress {
  key: string
  pair: string
  judge: Judge
  sinceMs: number
  requestsAtStart: number
}

export function createRolloutController (options: RolloutControllerOptions): RolloutController {
  const { config, isController, outcomes, clock, metrics, log } = options
  const { testPolicy = DEFAULT_TEST_POLICY, periodMs = CONTROLLER_PERIOD_MS } = options
  const progress = new Map<string, Progress>()
  let ticking: Promise<void> | undefined
  let stopTimer: TimerCancel | undefined

  function progressOf ({ name, spec }: ConfigEntry<'Rollout'>, requests: number): Progress {
    const pair = `${spec.from} ${spec.to}`
    const key = `${pair} ${spec.stage} ${spec.appliedStage ?? -1}`
    const known = progress.get(name)
    if (known?.key === key) return known
    const judge = known?.pair === pair ? known.judge : createJudge(testPolicy)
    judge.beginStage()
    const fresh = { key, pair, judge, sinceMs: clock.now(), requestsAtStart: requests }
    progress.set(name, fresh)
    return fresh
  }

  async function advance (entry: ConfigEntry<'Rollout'>): Promise<void> {
    const { name, spec } = entry
    if (spec.state === 'done' || spec.state === 'rolled_back') {
      progress.delete(name)
      return
    }
    const total = outcomes.total(name)
    const requests = total?.to.requests ?? 0
    const current = progressOf(entry, requests)
    const step = nextStep({
      rollout: spec,
      from: config.view.entry('Version', spec.from),
      to: config.view.entry('Version', spec.to),
      verdict: total && current.judge.judge(total),
      stageMs: clock.now() - current.sinceMs,
      stageRequests: requests - current.requestsAtStart
    })
    await perform(entry, step)
  }

  async function perform (entry: ConfigEntry<'Rollout'>, step: Step): Promise<void> {
    const { name, spec, resourceVersion } = entry
    if (step.type === 'none') return
    for (const { name: version, spec: changed, resourceVersion: base } of step.versions) {
      if (!await write('Version', version, changed, base)) return
    }
    if (!await write('Rollout', name, { ...spec, ...step.rollout }, resourceVersion)) return
    metrics.count('rollout_steps', step.type)
    log.info('roll-out changed', { rollout: name, step: step.type, ...step.rollout })
  }

  /** False when another change came first or it is not known whether the write took effect; the next tick looks again. */
  async function write<Kind extends ConfigKind> (kind: Kind, name: string, spec: ConfigSpecs[Kind], resourceVersion: number): Promise<boolean> {
    if (!isController()) return false
    try {
      await config.change({ kind, name, spec, resourceVersion })
      return true
    } catch (error) {
      metrics.count('retries', `rollout_${error instanceof LacewingError ? error.kind : 'failed'}`)
      return false
    }
  }

  async function tickAll (): Promise<void> {
    if (!isController()) {
      // Another controller may take steps now; what is remembered here would be out of date later.
      progress.clear()
      return
    }
    for (const entry of config.view.list('Rollout')) {
      await advance(entry).catch(error => log.error('roll-out step failed', { rollout: entry.name, error: errorMessage(error) }))
    }
  }

  async function tick (): Promise<void> {
    ticking ??= tickAll().finally(() => { ticking = undefined })
    return ticking
  }

  return {
    tick,
    start () {
      stopTimer ??= clock.every(periodMs, () => { void tick() })
    },
    stop () {
      stopTimer?.()
      stopTimer = undefined
    }
  }
}
