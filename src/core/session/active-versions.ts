/** Tracks the active versions of each model and when this VM first saw them. */
import type { Clock } from '../clock/index.ts'
import type { ConfigView } from '../config/types.ts'
import type { ModelId, VersionId } from '../ids/index.ts'
import { MULTIPLE_VERSIONS_MEMORY_MS } from './constants.ts'

interface ActiveVersionsOptions {
  view: ConfigView
  clock: Clock
  /** Called when a model goes from one active version to several. */
  onSecondVersion: (model: ModelId) => void
}

export interface ActiveVersions {
  count(model: ModelId): number
  isActive(version: VersionId): boolean
  /**
   * Time since this VM first saw the version active; infinite if it was active from the start or was the model's first
   * one.
   */
  timeSinceFirstSeenMs(version: VersionId): number
  /** Whether the model had several active versions immediately before a change that this VM received within the last hour. */
  recentlyHadMultiple(model: ModelId): boolean
  stop(): void
}

export function createActiveVersions ({ view, clock, onSecondVersion }: ActiveVersionsOptions): ActiveVersions {
  let active = readActive(view)
  const multipleSeenAtMs = new Map<ModelId, number>()
  const firstSeenAtMs = new Map<VersionId, number>()

  const stop = view.onChange(records => {
    if (!records.some(record => record.kind === 'Version')) return
    const previous = active
    active = readActive(view)
    for (const [model, versions] of active) {
      const previousVersions = previous.get(model) ?? new Set()
      for (const version of versions) {
        // The first version of a model needs no settling time, because no session can have begun before it.
        if (!previousVersions.has(version) && previousVersions.size > 0) firstSeenAtMs.set(version, clock.now())
      }
      if (previousVersions.size > 1) multipleSeenAtMs.set(model, clock.now())
      if (previousVersions.size === 1 && versions.size > 1) onSecondVersion(model)
    }
  })

  return {
    count: model => active.get(model)?.size ?? 0,
    isActive: version => [...active.values()].some(versions => versions.has(version)),
    timeSinceFirstSeenMs: version => clock.now() - (firstSeenAtMs.get(version) ?? -Infinity),
    recentlyHadMultiple: model => clock.now() - (multipleSeenAtMs.get(model) ?? -Infinity) < MULTIPLE_VERSIONS_MEMORY_MS,
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
