/** Pure rules of a roll-out: the next step, given the Rollout object, the two versions and the evidence. */
import type { ConfigEntry, Rollout, Version } from '../config/types.ts'
import { GO_BACK_AFTER_MS } from './constants.ts'
import type { Signal, Verdict } from './types.ts'

type VersionEntry = ConfigEntry<'Version'>

/** The versions are written in the given order, then the Rollout object. */
export type Step =
  | { type: 'none' }
  | {
    type: 'weights_applied' | 'advanced' | 'went_back' | 'finished' | 'stopped' | 'rolled_back' | 'paused'
    versions: VersionEntry[]
    rollout: Partial<Rollout>
  }

export interface StepInput {
  rollout: Rollout
  from: VersionEntry | undefined
  to: VersionEntry | undefined
  /** `undefined` without outcome totals for the roll-out. */
  verdict: Verdict | undefined
  /** Time and requests to the new version since this controller saw the stage's weights written. */
  stageMs: number
  stageRequests: number
}

const NO_STEP: Step = { type: 'none' }

export function nextStep (input: StepInput): Step {
  const { rollout, from, to } = input
  if (!from || !to) return NO_STEP
  if (rollout.state === 'stopped') return rollBack(rollout, from, to)
  if (rollout.state !== 'running') return NO_STEP
  if (to.spec.state === 'withdrawn') return stop('The new version was withdrawn.')
  const { worse, suspect, evidence } = input.verdict ?? {}
  if (worse) return stop(`The new version is worse in ${worse}; the logarithm of the likelihood ratio is ${evidence![worse].toFixed(1)}.`)
  if (!hasControllerWeights(rollout, from, to)) return pause('The weights of the versions were changed during the roll-out.')
  if (rollout.appliedStage !== rollout.stage) return applyWeights(rollout, from, to)
  if (suspect && input.stageMs >= GO_BACK_AFTER_MS) return returnToPreviousStage(rollout, suspect)
  return mayAdvance(input) ? advance(rollout) : NO_STEP
}

function mayAdvance ({ rollout, verdict, stageMs, stageRequests }: StepInput): boolean {
  const isLongEnough = stageMs >= rollout.stageMinimumMs && stageRequests >= rollout.stageMinimumRequests
  return isLongEnough && verdict !== undefined && verdict.mayAdvance
}

function advance ({ stage, stages }: Rollout): Step {
  if (stage >= stages.length - 1) return { type: 'finished', versions: [], rollout: { state: 'done' } }
  return { type: 'advanced', versions: [], rollout: { stage: stage + 1 } }
}

/**
 * Sends more traffic to the old version again, because only a comparison over the same period distinguishes a bad version
 * from a fault that affects both.
 */
function returnToPreviousStage (rollout: Rollout, suspect: Signal): Step {
  if (rollout.stage === 0) return stop(`The new version got worse in ${suspect}, and the old one serves too few requests for a comparison.`)
  return { type: 'went_back', versions: [], rollout: { stage: rollout.stage - 1 } }
}

function stop (reason: string): Step {
  return { type: 'stopped', versions: [], rollout: { state: 'stopped', reason } }
}

function pause (reason: string): Step {
  return { type: 'paused', versions: [], rollout: { state: 'paused', reason } }
}

/** Share of new sessions that the new version gets in a stage. */
function newVersionShare ({ stages }: Rollout, stage: number): number {
  return stages[Math.min(stage, stages.length - 1)]!
}

/**
 * Whether the weights are the controller's own: those of the applied stage or, if a controller stopped between two
 * writes, those of the current stage. Any weights are accepted before the first stage is applied.
 */
function hasControllerWeights (rollout: Rollout, from: VersionEntry, to: VersionEntry): boolean {
  const { stage, appliedStage } = rollout
  if (appliedStage === undefined) return true
  const shares = [newVersionShare(rollout, appliedStage), newVersionShare(rollout, stage)]
  return shares.includes(to.spec.weight) && shares.some(share => from.spec.weight === 1 - share)
}

function applyWeights (rollout: Rollout, from: VersionEntry, to: VersionEntry): Step {
  const share = newVersionShare(rollout, rollout.stage)
  const versions = [withSpec(to, { weight: share }), withSpec(from, { weight: 1 - share })].filter(isChanged([from, to]))
  return { type: 'weights_applied', versions, rollout: { appliedStage: rollout.stage } }
}

/**
 * Sends all new sessions to the old version and withdraws the new one, so that its existing sessions move as well. The
 * old version is written first, so that the model always has a version that accepts new sessions.
 */
function rollBack (rollout: Rollout, from: VersionEntry, to: VersionEntry): Step {
  if (from.spec.state === 'withdrawn') return pause(`${rollout.reason ?? 'The roll-out was stopped.'} The old version is withdrawn, so the new one stays.`)
  const versions = [withSpec(from, { weight: 1 }), withSpec(to, { weight: 0, state: 'withdrawn' })].filter(isChanged([from, to]))
  return { type: 'rolled_back', versions, rollout: { state: 'rolled_back' } }
}

function withSpec (entry: VersionEntry, changes: Partial<Version>): VersionEntry {
  return { ...entry, spec: { ...entry.spec, ...changes } }
}

function isChanged (originals: VersionEntry[]): (entry: VersionEntry) => boolean {
  return ({ name, spec }) => {
    const old = originals.find(entry => entry.name === name)!.spec
    return old.weight !== spec.weight || old.state !== spec.state
  }
}
