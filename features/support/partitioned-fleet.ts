/** Forwarding VMs on one store whose links to the backend servers are cut for each VM by itself. */
import { request as httpRequest, type IncomingMessage } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { BackendEntry } from '../../src/core/backend-pool/index.ts'
import type { TrafficConfig } from '../../src/core/forwarding/types.ts'
import { brandId, type BackendServerId, type ServiceId, type VmId } from '../../src/core/ids/index.ts'
import type { ForwardingVmSettings } from '../../src/core/forwarding-vm/index.ts'
import { adapter, backendEntry, KINDS, route, startForwardingVmHarness, trafficConfig, type ForwardingVmHarness } from './forwarding-vm-harness.ts'
import { startLinks, type Links } from './links.ts'
import { createMemoryStore, type MemoryStore } from './memory-store.ts'
import { startTaskBackend, type Run, type TaskBackend } from './task-backend.ts'

export interface Answer { status: number, headers: IncomingMessage['headers'], body: string, sentMs: number, afterMs: number, wasCut: boolean }

export interface FleetVm extends ForwardingVmHarness {
  /** By service. */
  links: Map<string, Links>
  /** Highest version of the configuration that the VM takes. */
  newestConfig: { version: number }
}

export interface PartitionedFleet {
  store: MemoryStore
  vms: FleetVm[]
  runs: Run[]
  putConfig(version: number, more?: { keys?: string[] }): void
  close(): Promise<void>
}

export const SERVICES = ['service', 'second']
const BACKENDS_PER_SERVICE = 2
const MAX_BODY_BYTES = 2_000_000

function config (version: number, keys: string[] | undefined): TrafficConfig {
  const second = brandId<ServiceId>('second')
  const basic = trafficConfig(version, { keys })
  return {
    ...basic,
    // A limit of several attempts, so that only the kind of the route keeps an order from running again.
    routes: [...basic.routes.map(one => (one.name === '/order/' ? { ...one, maxAttempts: 3 } : one)), route('/second/', 'idempotent', { targets: [{ service: second, weight: 1 }] })],
    services: [...basic.services, { ...basic.services[0]!, id: second }],
    limits: { ...basic.limits, maxBodyBytes: MAX_BODY_BYTES }
  }
}

export async function startPartitionedFleet (count: number, overrides: Partial<ForwardingVmSettings> = {}): Promise<PartitionedFleet> {
  const store = createMemoryStore()
  const runs: Run[] = []
  const backends: TaskBackend[] = []
  const vms: FleetVm[] = []
  const targets = new Map<string, string[]>()
  const putConfig: PartitionedFleet['putConfig'] = (version, { keys } = {}) => store.put(KINDS.config, 'main', config(version, keys))
  putConfig(1)
  for (const service of SERVICES) {
    const addresses: string[] = []
    for (let index = 0; index < BACKENDS_PER_SERVICE; index++) {
      const backend = await startTaskBackend(`${service}-${index}`, runs)
      backends.push(backend)
      addresses.push(backend.address)
      store.put(KINDS.backendServers, `${service}-${index}`, backendEntry(backend.address, { service: brandId<ServiceId>(service), slots: 50 }))
    }
    targets.set(service, addresses)
  }
  for (let index = 0; index < count; index++) vms.push(await startVm(index))
  while (!await allReady(vms)) await sleep(20)
  // Until every VM answers the pings of the others.
  await sleep(700)

  async function startVm (index: number): Promise<FleetVm> {
    const links = new Map<string, Links>()
    const ownAddresses = new Map<string, string>()
    for (const [service, addresses] of targets) {
      const own = await startLinks(addresses)
      links.set(service, own)
      addresses.forEach((address, at) => ownAddresses.set(address, own.addresses[at]!))
    }
    const newestConfig = { version: Infinity }
    const ownAdapter: typeof adapter = {
      ...adapter,
      decodeBackend: ({ name, spec }) => ({ ...spec as BackendEntry, address: ownAddresses.get((spec as BackendEntry).address)!, id: brandId<BackendServerId>(name) }),
      decodeConfig (spec) {
        if ((spec as TrafficConfig).version > newestConfig.version) throw new Error('version: not yet')
        return spec as TrafficConfig
      }
    }
    const vm = await startForwardingVmHarness({ store, configured: false, adapter: ownAdapter, overrides: { vm: brandId<VmId>(`vm-${index}`), ...overrides } })
    return { ...vm, links, newestConfig }
  }

  return {
    store,
    vms,
    runs,
    putConfig,
    async close () {
      for (const { vm, links } of vms) {
        await vm.close()
        for (const link of links.values()) await link.close()
      }
      for (const backend of backends) await backend.close()
    }
  }
}

async function allReady (vms: readonly FleetVm[]): Promise<boolean> {
  const answers = await Promise.all(vms.map(({ settings }) => fetch(`http://${settings.readinessAddress}/`).then(({ status }) => status === 200, () => false)))
  return answers.every(Boolean)
}

let ids = 0

export interface SentRequest {
  id: string
  answer: Promise<Answer>
  /** Closes the caller's connection. */
  leave(): void
  /** Stops and continues reading the response. */
  pause(): void
  resume(): void
  received(): string
}

export interface RequestOptions {
  method?: string
  id?: string
  key?: string | undefined
  waitMs?: number
  /** What the backend server does. */
  task?: string
  headers?: Record<string, string>
  body?: Buffer | undefined
  isChunked?: boolean
}

/** Sends a request on a connection of its own. */
export function sendTo ({ settings }: Pick<ForwardingVmHarness, 'settings'>, path: string, { method = 'GET', id = `peer-${ids++}`, key = 'good-key', waitMs = 3000, task = '', headers = {}, body, isChunked = false }: RequestOptions = {}): SentRequest {
  const [host, port] = settings.callerAddress.split(':')
  const sentMs = performance.now()
  let text = ''
  let incoming: IncomingMessage | undefined
  const outgoing = httpRequest({
    host,
    port,
    method,
    path,
    agent: false,
    headers: { host: 'desk.example', 'x-test-id': id, authorization: `Bearer ${key}`, 'x-test-wait-ms': String(waitMs), 'x-test-do': task, ...body && !isChunked && { 'content-length': String(body.length) }, ...headers }
  })
  const answer = new Promise<Answer>(resolve => {
    const settle = (wasCut: boolean) => resolve({ status: incoming?.statusCode ?? 0, headers: incoming?.headers ?? {}, body: text, sentMs, afterMs: performance.now() - sentMs, wasCut })
    outgoing.on('error', () => settle(true))
    outgoing.on('response', response => {
      incoming = response
      response.setEncoding('latin1')
      response.on('data', (chunk: string) => { text += chunk })
      response.on('error', () => {})
      response.on('close', () => settle(!response.complete))
    })
  })
  if (body && isChunked) for (let at = 0; at < body.length; at += 7000) outgoing.write(body.subarray(at, at + 7000))
  outgoing.end(isChunked ? undefined : body)
  return { id, answer, leave: () => { outgoing.destroy() }, pause: () => { incoming?.pause() }, resume: () => { incoming?.resume() }, received: () => text }
}

/** Event numbers in a stream's text, in order. */
export const eventsOf = (text: string) => [...text.matchAll(/^id: (\d+)$/gm)].map(([, number]) => Number(number))
