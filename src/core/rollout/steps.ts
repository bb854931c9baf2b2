/** Pure rules of a roll-out: which step follows from the record, the two versions and the evidence. */
import type { ConfigEntry, Rollout, Version } from '../config/types.ts'
import { GO_BACK_AFTER_MS } from './constants.ts'
import type { Signal, Verdict } from './types.ts'

type VersionEntry = ConfigEntry<'Version'>

/** Versions are written in order, then the Rollout object. */
export type Step =
  | { type: 'none' }
  | {
    type: 'weights_applied' | 'advanced' | 'went_back' | 'finished' | 'stopped' | 'rolled_back' | 'paused'
    versions: VersionEntry[]
    rollout: Partial<Rollout>
  }

export interface Situation {
  rollout: Rollout
  from: VersionEntry | undefined
  to: VersionEntry | undefined
  /** Undefined until an outcome was counted. */
  verdict: Verdict | undefined
  /** Time and requests to the new version since the stage's weights were written, as this controller knows. */
  stageMs: number
  stageRequests: number
}

const NONE: Step = { type: 'none' }

export function nextStep (situation: Situation): Step {
  const { rollout, from, to } = situation
  if (!from || !to) return NONE
  if (rollout.state === 'stopped') return rollBack(rollout, from, to)
  if (rollout.state !== 'running') return NONE
  if (to.spec.state === 'withdrawn') return stop('The new version was withdrawn.')
  const { worse, suspect, evidence } = situation.verdict ?? {}
  if (worse) return stop(`The new version is worse in ${worse}; the logarithm of the likelihood ratio is ${evidence![worse].toFixed(1)}.`)
  if (!hasOwnWeights(rollout, from, to)) return pause('The weights of the versions were changed during the roll-out.')
  if (rollout.appliedStage !== rollout.stage) return applyWeights(rollout, from, to)
  if (suspect && situation.stageMs >= GO_BACK_AFTER_MS) return goBack(rollout, suspect)
  return mayAdvance(situation) ? advance(rollout) : NONE
}

function mayAdvance ({ rollout, verdict, stageMs, stageRequests }: Situation): boolean {
  const isLongEnough = stageMs >= rollout.stageMinimumMs && stageRequests >= rollout.stageMinimumRequests
  return isLongEnough && verdict !== undefined && verdict.mayAdvance
}

function advance ({ stage, stages }: Rollout): Step {
  if (stage >= stages.length - 1) return { type: 'finished', versions: [], rollout: { state: 'done' } }
  return { type: 'advanced', versions: [], rollout: { stage: stage + 1 } }
}

/** Gives the old version traffic again, because only a comparison tells a bad version from a fault of both. */
function goBack (rollout: Rollout, suspect: Signal): Step {
  if (rollout.stage === 0) return stop(`The new version got worse in ${suspect}, and the old one serves too little to compare with.`)
  return { type: 'went_back', versions: [], rollout: { stage: rollout.stage - 1 } }
}

function stop (reason: string): Step {
  return { type: 'stopped', versions: [], rollout: { state: 'stopped', reason } }
}

function pause (reason: string): Step {
  return { type: 'paused', versions: [], rollout: { state: 'paused', reason } }
}

/** Share of a stage's new sessions for the new version. */
function shareOf ({ stages }: Rollout, stage: number): number {
  return stages[Math.min(stage, stages.length - 1)]!
}

/**
 * Whether the controller wrote the weights: those of the applied stage or, when it stopped between two writes, of the
 * recorded one. Before the first stage is applied any weights will do.
 */
function hasOwnWeights (rollout: Rollout, from: VersionEntry, to: VersionEntry): boolean {
  const { stage, appliedStage } = rollout
  if (appliedStage === undefined) return true
  const shares = [shareOf(rollout, appliedStage), shareOf(rollout, stage)]
  return shares.includes(to.spec.weight) && shares.some(share => from.spec.weight === 1 - share)
}

function applyWeights (rollout: Rollout, from: VersionEntry, to: VersionEntry): Step {
  const share = shareOf(rollout, rollout.stage)
  const versions = [withSpec(to, { weight: share }), withSpec(from, { weight: 1 - share })].filter(isChanged([from, to]))
  return { type: 'weights_applied', versions, rollout: { appliedStage: rollout.stage } }
}

/**
 * Gives the old version all new sessions and withdraws the new one, so that its sessions leave it as well. The old
 * version comes first, so that the model always has one that takes new work.
 */
function rollBack (rollout: Rollout, from: VersionEntry, to: VersionEntry): Step {
  if (from.spec.state === 'withdrawn') return pause(`${rollout.reason ?? 'The roll-out was stopped.'} The old version is withdrawn, so the new one stays.`)
  const versions = [withSpec(from, { weight: 1 }), withSpec(to, { weight: 0, state: 'withdrawn' })].filter(isChanged([from, to]))
  return { type: 'rolled_back', versions, rollout: { state: 'rolled_back' } }
}

function withSpec (entry: VersionEntry, changes: Partial<Version>): VersionEntry {
  return { ...entry, spec: { ...entry.spec, ...changes } }
}

function isChanged (before: VersionEntry[]): (entry: VersionEntry) => boolean {
  return ({ name, spec }) => {
    const old = before.find(entry => entry.name === name)!.spec
    return old.weight !== spec.weight || old.state !== spec.state
  }
}
