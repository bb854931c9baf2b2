/**
 * Learned speed of each backend server relative to the others that run the same version of its service. It handles fleets
 * of uneven servers and servers that slow down for seconds. Each answer is compared with the typical time of its class;
 * the weighted median over several seconds ignores noise of 600 ms. A version that is slow on all its servers changes no
 * speed, so the version trial still sees it.
 */
import type { Clock } from '../clock/index.ts'
import type { BackendServerId } from '../ids/index.ts'
import {
  DIFFERING_EVALUATIONS, EVEN_BAND, FIRST_EVENT_WEIGHT, LEAVE_BAND, MAX_SAMPLE_AGE_MS, MAX_SAMPLES, MAX_SPEED, MIN_SAMPLES, MIN_SPEED, SAMPLE_SPACING_MS, SIGNIFICANCE, SPEED_HALF_LIFE_MS, SPEED_STEP, VALUE_SCALE
} from './constants.ts'
import { signalOf, type TypicalTimes } from './typical-times.ts'

interface WeightedValue { value: number, weight: number }

interface Sample { classId: number, value: number, atMs: number, load: number }

interface Server {
  samples: Sample[]
  speed: number
  /** Consecutive evaluations in which the server differs from the others although its speed is still 1. */
  differing: number
  /** Median level of the group at the last evaluation, if known. */
  groupLevel: number | undefined
  /** Monotonic time of the last change of the speed. */
  changedMs: number
  /** Monotonic time up to which the speed is confirmed by samples, or has decayed without them. */
  confirmedMs: number
}

/** Level of one server: logarithm of its times relative to the typical ones, and its standard error. */
interface Level { server: Server, level: number, error: number }

export interface LearnedSpeed {
  /** 1 for a server as fast as the median of its group or not known to differ from it. */
  speed: number
  changedMs: number
  samples: number
  /** Time since the newest sample. */
  ageMs: number
}

/** Logarithm of the speed by some of the samples, the one that three quarters of them are below, and their median load. */
export interface PaceAtLoad { logSpeed: number, mostBelow: number, load: number }

/** Pace of a server by the half of its samples with less load and by the half with more. */
export interface RecentPace { light: PaceAtLoad, heavy: PaceAtLoad, samples: number }

export interface Speeds {
  /** Records the time of an answer; returns whether it was kept as a sample, as few are needed. */
  record(id: BackendServerId, classId: number, value: number): boolean
  /** Computes all speeds from the samples. */
  evaluate(): void
  get(id: BackendServerId): LearnedSpeed | undefined
  /** Pace beside the group by the samples since a monotonic time; `undefined` if it cannot be compared. */
  paceSince(id: BackendServerId, sinceMs: number): RecentPace | undefined
  /** The speed alone, which is read for each candidate of a request; 1 for an unknown server. */
  speedOf(id: BackendServerId): number
  ids(): Iterable<BackendServerId>
  remove(id: BackendServerId): void
}

export interface SpeedsOptions {
  typicalTimes: TypicalTimes
  /** Name of the group whose servers are compared; `undefined` for an unknown server. */
  groupOf(id: BackendServerId): string | undefined
  /** Load of a backend server from all VMs. */
  loadOf(id: BackendServerId): number
  clock: Clock
}

export function createSpeeds ({ typicalTimes, groupOf, loadOf, clock }: SpeedsOptions): Speeds {
  const servers = new Map<BackendServerId, Server>()

  /** Logarithms of times relative to the typical ones. */
  function ratiosOf (samples: readonly Sample[]): WeightedValue[] {
    return samples.map(({ classId, value }) => ({
      value: (value - (typicalTimes.valueOf(classId) ?? value)) / VALUE_SCALE, weight: signalOf(classId) === 'first' ? FIRST_EVENT_WEIGHT : 1
    }))
  }

  function levelOf (server: Server): Level | undefined {
    const oldestMs = clock.now() - MAX_SAMPLE_AGE_MS
    server.samples = server.samples.filter(({ atMs }) => atMs >= oldestMs)
    if (server.samples.length < MIN_SAMPLES) return undefined
    const ratios = ratiosOf(server.samples)
    const level = weightedMedian(ratios)
    const deviation = weightedMedian(ratios.map(({ value, weight }) => ({ value: Math.abs(value - level), weight })))
    // For normally distributed values, 1.48 median deviations are one standard deviation, and the median has 1.25 times the error of the mean.
    return { server, level, error: 1.25 * 1.48 * deviation / Math.sqrt(ratios.length) }
  }

  function setSpeed (server: Server, logSpeed: number): void {
    const isEven = Math.abs(logSpeed) < (server.speed === 1 ? EVEN_BAND : LEAVE_BAND)
    server.differing = isEven || server.speed !== 1 ? 0 : server.differing + 1
    if (server.differing > 0 && server.differing < DIFFERING_EVALUATIONS) return
    if (isEven ? server.speed === 1 : Math.abs(logSpeed - Math.log(server.speed)) < SPEED_STEP) return
    server.speed = isEven ? 1 : Math.min(MAX_SPEED, Math.max(MIN_SPEED, Math.exp(logSpeed)))
    server.changedMs = clock.now()
  }

  /** Lets a speed that too few answers confirm return to 1, so that a server without load is tried again. */
  function decay (server: Server): void {
    const elapsedMs = clock.now() - server.confirmedMs
    if (server.speed === 1 || elapsedMs < SPEED_HALF_LIFE_MS / 4) return
    server.confirmedMs = clock.now()
    const logSpeed = Math.log(server.speed) * 2 ** (-elapsedMs / SPEED_HALF_LIFE_MS)
    server.speed = Math.abs(logSpeed) < LEAVE_BAND ? 1 : Math.exp(logSpeed)
    server.changedMs = clock.now()
  }

  function evaluateGroup (group: readonly Server[]): void {
    const levels = group.map(levelOf)
    const known = levels.filter(level => level !== undefined)
    const median = known.length >= 2 ? weightedMedian(known.map(({ level }) => ({ value: level, weight: 1 }))) : undefined
    group.forEach((server, index) => {
      const level = levels[index]
      server.groupLevel = median
      if (!level || median === undefined) return decay(server)
      server.confirmedMs = clock.now()
      const logSpeed = median - level.level
      setSpeed(server, Math.abs(logSpeed) < SIGNIFICANCE * level.error ? 0 : logSpeed)
    })
  }

  return {
    record (id, classId, value) {
      if (groupOf(id) === undefined) return false
      const server = servers.get(id) ?? { samples: [], speed: 1, differing: 0, groupLevel: undefined, changedMs: -Infinity, confirmedMs: clock.now() }
      servers.set(id, server)
      typicalTimes.record(classId, value)
      if (clock.now() - (server.samples.at(-1)?.atMs ?? -Infinity) < SAMPLE_SPACING_MS) return false
      server.samples.push({ classId, value, atMs: clock.now(), load: loadOf(id) })
      if (server.samples.length > MAX_SAMPLES) server.samples.shift()
      return true
    },
    evaluate () {
      const groups = new Map<string, Server[]>()
      for (const [id, server] of servers) {
        const name = groupOf(id)
        if (name === undefined) servers.delete(id)
        else groups.set(name, [...groups.get(name) ?? [], server])
      }
      for (const group of groups.values()) evaluateGroup(group)
    },
    get (id) {
      const server = servers.get(id)
      return server && { speed: server.speed, changedMs: server.changedMs, samples: server.samples.length, ageMs: clock.now() - (server.samples.at(-1)?.atMs ?? -Infinity) }
    },
    paceSince (id, sinceMs) {
      const { samples = [], groupLevel } = servers.get(id) ?? {}
      const recent = samples.filter(({ atMs }) => atMs >= sinceMs).sort((a, b) => a.load - b.load)
      if (groupLevel === undefined || recent.length < MIN_SAMPLES) return undefined
      const half = Math.floor(recent.length / 2)
      const paceOf = (part: readonly Sample[]): PaceAtLoad => {
        const ratios = ratiosOf(part)
        return { logSpeed: groupLevel - weightedMedian(ratios), mostBelow: groupLevel - weightedQuantile(ratios, 1 / 4), load: part[Math.floor(part.length / 2)]!.load }
      }
      return { light: paceOf(recent.slice(0, half)), heavy: paceOf(recent.slice(half)), samples: recent.length }
    },
    speedOf: id => servers.get(id)?.speed ?? 1,
    ids: () => servers.keys(),
    remove: id => { servers.delete(id) }
  }
}

/** Value with half of the weight on each side; the mean of two values if the weights divide between them. */
export function weightedMedian (values: readonly WeightedValue[]): number {
  return weightedQuantile(values, 1 / 2)
}

/** Value with a share of the weight below it. */
function weightedQuantile (values: readonly WeightedValue[], share: number): number {
  const sorted = [...values].sort((a, b) => a.value - b.value)
  const target = sorted.reduce((sum, { weight }) => sum + weight, 0) * share
  let below = 0
  for (const [index, { value, weight }] of sorted.entries()) {
    below += weight
    if (below > target) return value
    if (below === target) return (value + (sorted[index + 1]?.value ?? value)) / 2
  }
  return sorted.at(-1)?.value ?? 0
}
