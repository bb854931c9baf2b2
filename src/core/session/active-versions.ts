/** Follows which versions of each model are active and since when this VM has known them. */
import type { Clock } from '../clock/index.ts'
import type { ConfigView } from '../config/types.ts'
import type { ModelId, VersionId } from '../ids/index.ts'
import { SEVERAL_VERSIONS_MEMORY_MS } from './constants.ts'

interface ActiveVersionsOptions {
  view: ConfigView
  clock: Clock
  /** Called when a model that had one active version has more. */
  onSecond: (model: ModelId) => void
}

export interface ActiveVersions {
  count(model: ModelId): number
  isActive(version: VersionId): boolean
  /** Time since this VM first saw the version active; infinite when it was there from the start. */
  knownForMs(version: VersionId): number
  /** Whether this VM saw several active versions of the model within the last hour. */
  hadSeveral(model: ModelId): boolean
  stop(): void
}

export function createActiveVersions ({ view, clock, onSecond }: ActiveVersionsOptions): ActiveVersions {
  let active = readActive(view)
  const severalAtMs = new Map<ModelId, number>()
  const sinceMs = new Map<VersionId, number>()

  const stop = view.onChange(records => {
    if (!records.some(record => record.kind === 'Version')) return
    const before = active
    active = readActive(view)
    for (const [model, versions] of active) {
      const earlier = before.get(model) ?? new Set()
      for (const version of versions) {
        // The first version of a model settles at once, because no session can have begun before it.
        if (!earlier.has(version) && earlier.size > 0) sinceMs.set(version, clock.now())
      }
      if (earlier.size > 1) severalAtMs.set(model, clock.now())
      if (earlier.size === 1 && versions.size > 1) onSecond(model)
    }
  })

  return {
    count: model => active.get(model)?.size ?? 0,
    isActive: version => [...active.values()].some(versions => versions.has(version)),
    knownForMs: version => clock.now() - (sinceMs.get(version) ?? -Infinity),
    hadSeveral: model => clock.now() - (severalAtMs.get(model) ?? -Infinity) < SEVERAL_VERSIONS_MEMORY_MS,
    stop
  }
}

function readActive (view: ConfigView): Map<ModelId, Set<VersionId>> {
  const active = new Map<ModelId, Set<VersionId>>()
  for (const { name, spec } of view.list('Version')) {
    if (spec.state !== 'active') continue
    const versions = active.get(spec.model) ?? new Set()
    active.set(spec.model, versions.add(name as VersionId))
  }
  return active
}
