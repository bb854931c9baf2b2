/** A small deployment: a store, the manifest, backend servers and VMs. */
import type { Recorder } from './record.ts'
import { findPort, startVms, type Vm } from './fleet.ts'
import { startRunner, type Runner, type RunnerOptions } from './runner.ts'
import { createStore, type Store } from './store.ts'
import { HOST_NAME } from './consumer.ts'

export const SERVICE = 'dispatch-app'
export const TENANTS = [{ name: 'tenant-a', api_keys: ['key-a1', 'key-a2'], priority: 1 }, { name: 'tenant-b', api_keys: ['key-b1'], priority: 1 }]

/** A route of the manifest with the values of the sheets where nothing else is given. */
export function route (name: string, kind: 'idempotent' | 'non_idempotent' | 'streaming', more: object = {}): object {
  return {
    name, host: HOST_NAME, path_prefix: `/${name}/`, kind, service: SERVICE, timeout_ms: kind === 'streaming' ? 20_000 : 3000, target_latency_ms: kind === 'streaming' ? 1500 : 300, priority: 1, max_attempts: kind === 'non_idempotent' ? 1 : 3, allow_anonymous: false, session_affinity: false, stream_resume: kind === 'streaming', ...kind === 'streaming' && { gap_aim_ms: 1200 }, ...more
  }
}

export interface Manifest { version: number, routes: object[], tenants?: object[], limits?: object }

export function manifest ({ version, routes, tenants = TENANTS, limits = {} }: Manifest): object {
  return {
    version,
    routes,
    services: [{ name: SERVICE, health_check: '/health', max_connections: 110, protocol: 'h1', tls: false, cold_s: 0, cold_per_s: 0 }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000, ...limits },
    tenants
  }
}

export interface Setting { store: Store, storeAddress: string, vms: Vm[], runners: Runner[], addRunner(options: Partial<RunnerOptions> & Pick<RunnerOptions, 'id' | 'run'>): Promise<Runner> }

export interface SettingOptions {
  recorder: Recorder
  onEnd: (end: () => void) => void
  routes: object[]
  vms?: number
  runners: (Partial<RunnerOptions> & Pick<RunnerOptions, 'run'>)[]
  tenants?: object[]
  limits?: object
}

export async function startSetting ({ recorder, onEnd, routes, vms: vmCount = 2, runners: runnerOptions, tenants = TENANTS, limits = {} }: SettingOptions): Promise<Setting> {
  const store = createStore()
  const storePort = await findPort('127.0.0.2')
  const storeAddress = `127.0.0.2:${storePort}`
  await store.listen('127.0.0.2', storePort)
  onEnd(store.close)
  store.put('config', 'main', manifest({ version: 7, routes, tenants, limits }))
  const runners: Runner[] = []
  async function addRunner (options: Partial<RunnerOptions> & Pick<RunnerOptions, 'id' | 'run'>): Promise<Runner> {
    const host = options.host ?? `127.0.0.${100 + runners.length}`
    const runner = await startRunner({ host, port: await findPort(host), service: SERVICE, zone: `zone-${1 + runners.length % 2}`, store, recorder, ...options })
    onEnd(runner.close)
    runners.push(runner)
    return runner
  }
  for (const [index, options] of runnerOptions.entries()) await addRunner({ id: `i-${index + 1}`, ...options })
  const vms = await startVms(vmCount, { storeAddress, recorder, onEnd })
  return { store, storeAddress, vms, runners, addRunner }
}
