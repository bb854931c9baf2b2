/**
 * Seeded simulation of one roll-out in simulated time. Simulated requests are served according to the weights in force, and
 * their outcomes are reported to the region's roll-out controller.
 */
import { createManualClock, type ManualClock } from '../core/clock/index.ts'
import { brandId, type VersionId, type VmId } from '../core/ids/index.ts'
import { silentLog } from '../core/logging/index.ts'
import { createMetrics, type Metrics } from '../core/metrics/index.ts'
import { createOutcomeReports, createRolloutController, type OutcomeReports, type RolloutController } from '../core/rollout/index.ts'
import type { Rollout } from '../core/config/types.ts'
import type { VersionOutcome } from '../core/routing/types.ts'
import { createMemoryObjectApi } from './memory-object-api.ts'
import { createMemoryRegion, type MemoryRegion } from './memory-region.ts'
import { createMemoryConfig, type MemoryConfig } from './memory-config.ts'
import { createRandom, normal } from './random.ts'

/** Behaviour of a version at a given time of the roll-out. */
export interface Behaviour {
  failureShare: number
  /** Median time to the first token, in milliseconds. */
  firstTokenMs: number
  rating: number
}

export const GOOD_BEHAVIOUR: Behaviour = { failureShare: 0.01, firstTokenMs: 200, rating: 0.85 }

export interface SimulationOptions {
  seed: number
  vms?: number
  requestsPerSecond?: number
  /** Behaviour of the old and the new version, by milliseconds since the start. */
  behaviour: (version: 'from' | 'to', atMs: number) => Behaviour
  rollout?: Partial<Rollout>
}

export interface Simulation {
  clock: ManualClock
  config: MemoryConfig
  region: MemoryRegion
  controllers: Map<string, RolloutController>
  metrics: Metrics
  /** Number of requests served by the new version (`to`) and by both versions (`all`). */
  served: { to: number, all: number }
  /** Makes the given VM the controller. */
  setController(vm: string): void
  rollout(): Rollout
  run(seconds: number, until?: (rollout: Rollout) => boolean): Promise<void>
}

/** Time until written weights are in force on the VMs: the bound on the 99th percentile of configuration changes. */
const PROPAGATION_S = 3
const RATED_SHARE = 0.1

export function createRolloutSimulation (options: SimulationOptions): Simulation {
  const { seed, vms = 3, requestsPerSecond = 20, behaviour, rollout = {} } = options
  const random = createRandom(seed)
  const clock = createManualClock()
  const config = createMemoryConfig()
  const region = createMemoryRegion({ clock, objectApi: createMemoryObjectApi() })
  const metrics = createMetrics()
  const controllers = new Map<string, RolloutController>()
  const reports: OutcomeReports[] = []
  const served = { to: 0, all: 0 }
  const shares: number[] = []
  let controllerVm = 'vm-0'

  const prices = { inputMicrosPerToken: 1, outputMicrosPerToken: 1 }
  config.set('Version', 'from', { model: 'kit', weight: 1, ...prices })
  config.set('Version', 'to', { model: 'kit', weight: 0, ...prices })
  config.set('Rollout', 'roll', { model: 'kit', from: 'from', to: 'to', ...rollout })
  for (let index = 0; index < vms; index++) addVm(`vm-${index}`)

  function addVm (name: string): void {
    const { identity, clock: vmClock, peers, membership } = region.add(name, 'bag-a')
    const controller = () => brandId<VmId>(controllerVm)
    const outcomes = createOutcomeReports({ identity, view: config.view, peers, membership, controller, clock: vmClock })
    reports.push(outcomes)
    outcomes.start()
    const isController = () => controllerVm === name
    const rolloutController = createRolloutController({ config, isController, outcomes, clock: vmClock, metrics, log: silentLog })
    controllers.set(name, rolloutController)
    rolloutController.start()
  }

  function newVersionShare (): number {
    const from = config.view.get('Version', 'from')!
    const to = config.view.get('Version', 'to')!
    if (to.state === 'withdrawn') return 0
    return to.weight / (from.weight + to.weight)
  }

  function serveRequest (share: number): void {
    const isNew = random() < share
    const name = isNew ? 'to' : 'from'
    const { failureShare, firstTokenMs, rating } = behaviour(name, clock.now())
    const failed = random() < failureShare
    const outcome: VersionOutcome = {
      team: 'kits',
      requestClass: 'teacher',
      version: brandId<VersionId>(name),
      failed,
      costMicros: 1,
      ...!failed && { firstTokenMs: firstTokenMs * Math.exp(normal(random, 0, 0.5)) }
    }
    const reporter = reports[Math.floor(random() * reports.length)]!
    reporter.observe(outcome)
    const drawnRating = Math.min(1, Math.max(0, normal(random, rating, 0.15)))
    if (!failed && random() < RATED_SHARE) reporter.observe({ ...outcome, rating: drawnRating })
    served.all++
    if (isNew) served.to++
  }

  return {
    clock,
    config,
    region,
    controllers,
    metrics,
    served,
    setController (vm) { controllerVm = vm },
    rollout: () => config.view.get('Rollout', 'roll')!,
    async run (seconds, until = () => false) {
      for (let second = 0; second < seconds && !until(config.view.get('Rollout', 'roll')!); second++) {
        shares.push(newVersionShare())
        const shareInForce = shares.at(-1 - PROPAGATION_S) ?? 0
        for (let request = 0; request < requestsPerSecond; request++) serveRequest(shareInForce)
        await clock.advance(1000)
      }
    }
  }
}
