/**
 * Chooses the backend server for a request. Many VMs place prompts with shared prefixes on engines that batch
 * continuously, and each VM sees only its own share of the requests. A request goes to a backend server whose engine
 * probably has its prefix cached if the load there exceeds the lowest load by no more than a fixed slack. Otherwise it
 * goes to the least loaded backend server, so that a popular prefix does not overload a single one. Where backend servers
 * are known to differ in speed, loads are compared by the time that they take.
 */
import type { Backend, RequestLoad } from '../backend-pool/types.ts'
import type { DataCentreId } from '../ids/index.ts'
import { hashFraction } from './rendezvous.ts'

export interface PlacementOptions {
  candidates: readonly Backend[]
  /** Prefix or session that requests share; `undefined` to choose by load alone. */
  affinityKey: string | undefined
  dataCentre: DataCentreId
  /** Load that other VMs contribute to a backend server. */
  othersLoad(backend: Backend): number
  /** Speed of a backend server relative to the others, learned from its answers. Default: 1 for all. */
  speedOf?: (backend: Backend) => number
  /** Load of the request itself, which takes longer on a slow backend server that is idle. Default: 0. */
  ownLoad?: number
  /**
   * Number of backend servers of any data centre, and of the own one, whose loads are compared; all if undefined. If many
   * VMs act on the same old loads, they would all choose the least loaded one.
   */
  samples?: { any: number, local: number } | undefined
  /** Backend servers that are compared in addition to the samples. Default: none. */
  compared?: readonly Backend[]
  random: () => number
}

/** Number of backend servers that a prefix may be cached on; with two, there is an alternative that also has the prefix when one is busy. */
const AFFINITY_CHOICES = 2
/** Load above that of the least loaded backend server, in requests, up to which a cached prefix is preferred. */
const AFFINITY_SLACK = 1.5
/**
 * Prompt tokens that count as one additional request until the first event: about 65 ms of prefill at 61 tokens per
 * millisecond.
 */
const TOKENS_PER_LOAD_UNIT = 4000
/** Load, in requests, added to a backend server that fails all requests; multiplied by the failure rate. */
const FAILURE_PENALTY = 40
/** Load, in requests, subtracted from a backend server in the VM's own data centre; small enough to only break ties. */
const LOCAL_DATA_CENTRE_BONUS = 0.3

/** Compared backend servers where the loads are old: with two random choices the highest load stays low, and the local one saves bytes between data centres. */
export const STALE_LOAD_SAMPLES = { any: 2, local: 1 }

export function chooseBackend ({ candidates, affinityKey, dataCentre, othersLoad, speedOf = () => 1, ownLoad = 0, samples, compared = [], random }: PlacementOptions): Backend | undefined {
  const compare = (backend: Backend) => relativeLoad(loadOf(backend) + othersLoad(backend), ownLoad, speedOf(backend))
  let best: { backend: Backend, load: number, tieBreak: number } | undefined
  for (const backend of samples ? [...sample(candidates, dataCentre, samples, random), ...compared] : candidates) {
    const load = compare(backend) - (backend.entry.dataCentre === dataCentre ? LOCAL_DATA_CENTRE_BONUS : 0)
    const tieBreak = random()
    if (!best || load < best.load || (load === best.load && tieBreak < best.tieBreak)) best = { backend, load, tieBreak }
  }
  if (!best || affinityKey === undefined) return best?.backend
  const limit = best.load + AFFINITY_SLACK
  return withLargestWeights(candidates, affinityKey, speedOf).find(backend => compare(backend) <= limit) ?? best.backend
}

/** Backend servers on which a prefix may be cached, in one pass: all are weighted for each request. */
function withLargestWeights (candidates: readonly Backend[], affinityKey: string, speedOf: (backend: Backend) => number): Backend[] {
  const largest: { backend: Backend, weight: number }[] = []
  for (const backend of candidates) {
    // With this exponent, a backend server has a part of the prefixes in proportion to its speed.
    const weight = hashFraction(`${affinityKey}/${backend.entry.id}`) ** (1 / speedOf(backend))
    if (largest.length === AFFINITY_CHOICES && weight <= largest.at(-1)!.weight) continue
    const index = largest.findIndex(other => weight > other.weight)
    largest.splice(index === -1 ? largest.length : index, 0, { backend, weight })
    largest.length = Math.min(largest.length, AFFINITY_CHOICES)
  }
  return largest.map(({ backend }) => backend)
}

function sample (candidates: readonly Backend[], dataCentre: DataCentreId, { any, local }: { any: number, local: number }, random: () => number): Backend[] {
  const pick = (backends: readonly Backend[]) => backends[Math.floor(random() * backends.length)]
  const localCandidates = candidates.filter(({ entry }) => entry.dataCentre === dataCentre)
  const picked = [...Array.from({ length: any }, () => pick(candidates)), ...Array.from({ length: local }, () => pick(localCandidates))]
  return picked.filter(backend => backend !== undefined)
}

/** Load with which a backend server of speed 1 would take as long for the request; the load itself at speed 1. */
function relativeLoad (load: number, ownLoad: number, speed: number): number {
  return speed === 1 ? load : (load + ownLoad) / speed - ownLoad
}

/** Load of this VM on a backend server plus the penalty for its failure rate, in requests. */
export function loadOf ({ load, failureRate }: Backend): number {
  return load + failureRate * FAILURE_PENALTY
}

export function requestLoad (promptTokens: number, modelWeight: number): RequestLoad {
  return { running: modelWeight, prompt: modelWeight * promptTokens / TOKENS_PER_LOAD_UNIT }
}
