/** In-memory configuration for benchmarks and tests: a view, and conditional changes that take effect at once. */
import {
  CONFIG_SCHEMAS, type AcceptedChange, type ConfigChange, type ConfigEntry, type ConfigRecord, type ConfigSpecs, type ConfigView
} from '../core/config/types.ts'
import { ConfigError } from '../core/errors/index.ts'
import type { ConfigKind } from '../core/object-api/types.ts'

export interface MemoryConfig {
  view: ConfigView
  /** Stores an object with defaults filled in, regardless of its current resource version. */
  set<Kind extends ConfigKind>(kind: Kind, name: string, input: object): void
  change(change: ConfigChange): Promise<AcceptedChange>
}

export function createMemoryConfig (): MemoryConfig {
  const entries = new Map<string, ConfigEntry<ConfigKind>>()
  const listeners = new Set<(records: readonly ConfigRecord[]) => void>()
  let revision = 0

  function put (kind: ConfigKind, name: string, spec: ConfigSpecs[ConfigKind] | null): number {
    revision++
    if (spec) entries.set(`${kind}/${name}`, { name, resourceVersion: revision, spec })
    else entries.delete(`${kind}/${name}`)
    const record = { kind, name, resourceVersion: revision, spec, writeId: `write-${revision}`, deleted: spec === null } as ConfigRecord
    for (const listener of listeners) listener([record])
    return revision
  }

  const entry = <Kind extends ConfigKind>(kind: Kind, name: string) => entries.get(`${kind}/${name}`) as ConfigEntry<Kind> | undefined

  return {
    view: {
      revision: () => revision,
      entry,
      get: (kind, name) => entry(kind, name)?.spec,
      list: <Kind extends ConfigKind>(kind: Kind) =>
        [...entries].filter(([key]) => key.startsWith(`${kind}/`)).map(([, configEntry]) => configEntry as ConfigEntry<Kind>),
      onChange (listener) {
        listeners.add(listener)
        return () => { listeners.delete(listener) }
      }
    },
    set (kind, name, input) {
      put(kind, name, CONFIG_SCHEMAS[kind].parse(input))
    },
    async change ({ kind, name, spec, resourceVersion }) {
      if (entry(kind, name)?.resourceVersion !== resourceVersion) throw new ConfigError('config_conflict')
      return { kind, name, resourceVersion: put(kind, name, spec) }
    }
  }
}
