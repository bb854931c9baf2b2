/**
 * Chooses the backend server for a request. The load it answers: many VMs that place prompts with shared prefixes on
 * engines in continuous batches, each VM seeing only its own share. A request goes to the engine that probably holds
 * its prefix while that one is not busier than the least busy by more than the slack; otherwise to the least busy one,
 * so that one popular prefix does not pile up on one engine.
 */
import type { Backend } from '../backend-pool/types.ts'
import type { DataCentreId } from '../ids/index.ts'
import { hashText } from './rendezvous.ts'

export interface PlacementOptions {
  candidates: readonly Backend[]
  /** Prefix or session that requests share; `undefined` places by load alone. */
  affinityKey: string | undefined
  dataCentre: DataCentreId
  /** Load that other VMs have put on a backend server. */
  othersLoad(backend: Backend): number
  random: () => number
}

/** Engines that a prefix may settle on; two, so that a busy one has an alternative that also holds the prefix. */
const AFFINITY_CHOICES = 2
/** Load above the least busy one, in requests, up to which a cached prefix is worth waiting for. */
const AFFINITY_SLACK = 1.5
/** Prompt tokens that count as one more request until the first event: about 65 ms of prefill at 61 tokens a millisecond. */
const TOKENS_PER_LOAD = 4000
/** Load that a backend server which fails all requests appears to have in addition. */
const FAILURE_LOAD = 40
/** Advantage of a backend server in the VM's own data centre; breaks ties only. */
const NEAR_BONUS = 0.3

export function chooseBackend ({ candidates, affinityKey, dataCentre, othersLoad, random }: PlacementOptions): Backend | undefined {
  const loads = new Map(candidates.map(backend => [backend, loadOf(backend) + othersLoad(backend)]))
  let best: { backend: Backend, load: number, order: number } | undefined
  for (const backend of candidates) {
    const load = loads.get(backend)! - (backend.entry.dataCentre === dataCentre ? NEAR_BONUS : 0)
    const order = random()
    if (!best || load < best.load || (load === best.load && order < best.order)) best = { backend, load, order }
  }
  if (!best || affinityKey === undefined) return best?.backend
  const limit = best.load + AFFINITY_SLACK
  const preferred = candidates
    .map(backend => ({ backend, weight: hashText(`${affinityKey}/${backend.entry.id}`) }))
    .sort((a, b) => b.weight - a.weight)
    .slice(0, AFFINITY_CHOICES)
    .find(({ backend }) => loads.get(backend)! <= limit)
  return preferred?.backend ?? best.backend
}

/** Load that this VM has put on a backend server, and how badly it serves, in requests. */
export function loadOf ({ load, failureRate }: Backend): number {
  return load + failureRate * FAILURE_LOAD
}

/** Load of one request: its place in the batch, and its prompt until the first event. */
export function requestLoad (promptTokens: number, modelWeight: number): { running: number, prompt: number } {
  return { running: modelWeight, prompt: modelWeight * promptTokens / TOKENS_PER_LOAD }
}
