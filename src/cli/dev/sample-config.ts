/** Sample configuration of a small fleet: two models with two versions each, one service and two teams. */
import { createHash } from 'node:crypto'
import { CONFIG_SCHEMAS, type ConfigChange } from '../../core/config/types.ts'
import type { ConfigKind } from '../../core/object-api/types.ts'

export interface SampleBackendServer {
  id: string
  dataCentre: string
  /** `IP:PORT`. */
  address: string
  slots?: number
  coldAllowance?: number
}

export interface SampleOptions {
  region: string
  dataCentres: string[]
  engines: SampleBackendServer[]
  applications: SampleBackendServer[]
}

export const SAMPLE_TEAM_KEY = 'sample-team-key'
export const SAMPLE_OTHER_TEAM_KEY = 'sample-other-team-key'
export const SAMPLE_OPERATOR_KEY = 'sample-operator-key'
export const SAMPLE_VERSIONS = ['kit-small-v1', 'kit-small-v2', 'kit-large-v1', 'kit-large-v2']

/** Returns the changes in an order in which each object follows the objects that it refers to. */
export function sampleConfig ({ region, dataCentres, engines, applications }: SampleOptions): ConfigChange[] {
  return [
    change('Operator', 'admin', { keys: [hashedKey(SAMPLE_OPERATOR_KEY)] }),
    ...dataCentres.map(name => change('DataCentre', name, { region })),
    change('Model', 'kit-small', { alias: 'kit-model', tier: 0 }),
    change('Model', 'kit-large', { alias: 'kit-model', tier: 1 }),
    change('Version', 'kit-small-v1', version('kit-small', 1, 0.8)),
    change('Version', 'kit-small-v2', version('kit-small', 0, 0.82)),
    change('Version', 'kit-large-v1', version('kit-large', 1, 0.95)),
    change('Version', 'kit-large-v2', version('kit-large', 0, 0.96)),
    change('Service', 'order-desk', orderDesk()),
    ...engines.map(engine => change('BackendServer', engine.id, backendServer(engine, { versions: SAMPLE_VERSIONS }))),
    ...applications.map(application => change('BackendServer', application.id, backendServer(application, { service: 'order-desk' }))),
    change('Contract', 'head-teachers', contract('head-teachers', SAMPLE_TEAM_KEY, ['kit-small', 'kit-large', 'kit-model'])),
    change('Contract', 'field-agents', contract('field-agents', SAMPLE_OTHER_TEAM_KEY, ['kit-small']))
  ]
}

function change (kind: ConfigKind, name: string, spec: object): ConfigChange {
  return { kind, name, spec: CONFIG_SCHEMAS[kind].parse(spec), resourceVersion: undefined }
}

function hashedKey (key: string): { sha256: string } {
  return { sha256: createHash('sha256').update(key).digest('hex') }
}

function version (model: string, weight: number, priorQuality: number): object {
  const price = model === 'kit-large' ? 10 : 1
  return { model, weight, priorQuality, inputMicrosPerToken: price, outputMicrosPerToken: 3 * price }
}

function orderDesk (): object {
  return {
    routes: [
      { method: 'POST', path: '/dispatches', idempotent: false, priceMicros: 100 },
      { method: 'POST', path: '/rake-starts', idempotent: false, priceMicros: 100 },
      { method: 'GET', path: '/stock', idempotent: true },
      { method: 'GET', path: '/status', idempotent: true }
    ]
  }
}

function backendServer ({ dataCentre, address, slots = 8, coldAllowance = 2 }: SampleBackendServer, workload: object): object {
  return { dataCentre, address, slots, coldAllowance, ...workload }
}

function contract (team: string, key: string, models: string[]): object {
  return { team, keys: [hashedKey(key)], models, services: ['order-desk'], spendLimitMicros: 1_000_000_000 }
}
