/**
 * Chooses a version for a new session by weighted rendezvous hashing. All VMs choose the same version for the same
 * weights, and if the weight of one version grows, sessions only move to that version.
 */
import { createHash } from 'node:crypto'
import type { VersionId } from '../ids/index.ts'

export interface Candidate { version: VersionId, weight: number }

/** Chooses by weight; if all weights are 0 they count as equal. Returns `undefined` without candidates. */
export function chooseByHash (sessionKey: string, candidates: readonly Candidate[]): VersionId | undefined {
  const total = candidates.reduce((sum, candidate) => sum + candidate.weight, 0)
  let best: { version: VersionId, score: number } | undefined
  for (const { version, weight } of candidates) {
    const score = -Math.log(unitHash(`${sessionKey} ${version}`)) / (total > 0 ? weight : 1)
    if (!best || score < best.score || (score === best.score && version < best.version)) best = { version, score }
  }
  return best?.version
}

/** Maps a text to a number above 0 and at most 1. */
function unitHash (text: string): number {
  const digest = createHash('sha256').update(text).digest()
  return (digest.readUInt32BE(0) * 2 ** 21 + (digest.readUInt32BE(4) >>> 11) + 1) / 2 ** 53
}

/** Key of a session. JSON encoding keeps different combinations of team, model and session distinct. */
export function sessionKey (team: string, model: string, session: string): string {
  return createHash('sha256').update(JSON.stringify([team, model, session])).digest('hex')
}
