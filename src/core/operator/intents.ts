/**
 * Changes that state an intent, such as taking a data centre out of service. They apply to the current state of the
 * object, so on a conflict the object is read again and the change is retried.
 */
import { ConfigConflictError, MAX_INTENT_ATTEMPTS, type ConfigController } from '../config/index.ts'
import type { AcceptedChange, ConfigChange, ConfigSpecs, ConfigView } from '../config/types.ts'
import { ConfigError } from '../errors/index.ts'
import { brandId, type DataCentreId, type VmId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ConfigKind } from '../object-api/types.ts'

export type DrainableKind = 'DataCentre' | 'VirtualMachine' | 'BackendServer'

export interface IntentContext {
  config: ConfigController
  view: ConfigView
  metrics: Metrics
  /**
   * Returns the data centre of a VM of the region; undefined for an unknown VM. A VM needs no VirtualMachine object until
   * an operator changes its state.
   */
  dataCentreOfVm: (vm: VmId) => DataCentreId | undefined
}

export interface IntentResult extends AcceptedChange {
  /** False if the object was already in the requested state. */
  changed: boolean
}

const DRAINED_STATE = { DataCentre: 'out_of_service', VirtualMachine: 'leaving', BackendServer: 'leaving' } as const

export function drain (context: IntentContext, kind: DrainableKind, name: string): Promise<IntentResult> {
  return setState(context, kind, name, DRAINED_STATE[kind])
}

export function restore (context: IntentContext, kind: DrainableKind, name: string): Promise<IntentResult> {
  return setState(context, kind, name, 'in_service')
}

export function withdrawVersion (context: IntentContext, name: string): Promise<IntentResult> {
  return setState(context, 'Version', name, 'withdrawn')
}

async function setState (context: IntentContext, kind: DrainableKind | 'Version', name: string, state: string): Promise<IntentResult> {
  for (let attempt = 1; ; attempt++) {
    try {
      return await trySetState(context, kind, name, state)
    } catch (error) {
      if (!(error instanceof ConfigConflictError) || attempt >= MAX_INTENT_ATTEMPTS) throw error
      context.metrics.count('retries', 'operator_intent_conflict')
    }
  }
}

async function trySetState (context: IntentContext, kind: ConfigKind, name: string, state: string): Promise<IntentResult> {
  const { config, view } = context
  const entry = view.entry(kind, name) ?? defaultVmEntry(context, kind, name)
  if (!entry) throw new ConfigError('config_not_found', { detail: `${kind}/${name} does not exist` })
  const { resourceVersion } = entry
  const spec = entry.spec as { state: string }
  if (spec.state === state) return { kind, name, resourceVersion: resourceVersion ?? 0, changed: false }
  const change = { kind, name, spec: { ...spec, state } as unknown as ConfigSpecs[ConfigKind], resourceVersion } as ConfigChange
  const [accepted] = await config.change([change])
  return { ...accepted!, changed: true }
}

/** Returns the default entry of a known VM that has no stored object; the change then creates the object. */
function defaultVmEntry ({ dataCentreOfVm }: IntentContext, kind: ConfigKind, name: string): { spec: object, resourceVersion: undefined } | undefined {
  const dataCentre = kind === 'VirtualMachine' ? dataCentreOfVm(brandId<VmId>(name)) : undefined
  return dataCentre && { spec: { dataCentre, state: 'in_service' }, resourceVersion: undefined }
}
