/**
 * Controller of roll-outs. The Rollout object holds the progress: the controller first writes its decision there, then
 * the weights of the two versions, then that the weights are applied. A new controller continues from this object.
 * Every write is conditional, so an operator's change wins over a change that the controller based on an older object.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import type { ConfigEntry, ConfigSpecs } from '../config/types.ts'
import { errorMessage, LacewingError } from '../errors/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ConfigKind } from '../object-api/types.ts'
import { CONTROLLER_PERIOD_MS, DEFAULT_TEST_POLICY } from './constants.ts'
import { createSequentialTest, type SequentialTest } from './sequential-test.ts'
import { nextStep, type Step } from './steps.ts'
import type { Outcomes, RolloutConfig, RolloutController, TestPolicy } from './types.ts'

export { createOutcomeReports, type OutcomeReports } from './outcome-reports.ts'
export type * from './types.ts'

export interface RolloutControllerOptions {
  config: RolloutConfig
  /** Whether this VM controls the region's roll-outs; checked immediately before each write. */
  isController: () => boolean
  outcomes: Outcomes
  testPolicy?: TestPolicy
  periodMs?: number
  clock: Clock
  metrics: Metrics
  log: Log
}

/** In-memory state of the current stage. A new controller counts the stage's time and requests from 0 again. */
interface Progress {
  stageKey: string
  pair: string
  test: SequentialTest
  startedAtMs: number
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
    const stageKey = `${pair} ${spec.stage} ${spec.appliedStage ?? -1}`
    const existing = progress.get(name)
    if (existing?.stageKey === stageKey) return existing
    const test = existing?.pair === pair ? existing.test : createSequentialTest(testPolicy)
    test.beginStage()
    const fresh = { stageKey, pair, test, startedAtMs: clock.now(), requestsAtStart: requests }
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
    const stageProgress = progressOf(entry, requests)
    const step = nextStep({
      rollout: spec,
      from: config.view.entry('Version', spec.from),
      to: config.view.entry('Version', spec.to),
      verdict: total && stageProgress.test.update(total),
      stageMs: clock.now() - stageProgress.startedAtMs,
      stageRequests: requests - stageProgress.requestsAtStart
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

  /**
   * Resolves to false after a conflict or when the outcome of the write is unknown; the next tick reads the objects
   * again.
   */
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
      // Another controller may take steps from now on, which makes the progress kept here stale.
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
