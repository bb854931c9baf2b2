/**
 * Hands requests to other VMs while this one is cut off from their service, and reads what other VMs hand on. Which
 * services these are is decided in `reachability`.
 */
import type { Socket } from 'node:net'
import type { CallerRequest } from '../forwarding/types.ts'
import type { ServiceId, VmId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { choosePeer, type Candidate, type ChoiceOptions } from './choice.ts'
import { PEER_CONNECT_TIMEOUT_MS } from './constants.ts'
import { decodeOrigin, encodeOrigin, FORWARDED_HEADER, FORWARDED_STATEMENTS, type Origin } from './message.ts'

export { FORWARDED_ERROR_HEADER, FORWARDED_MODEL_HEADER, FORWARDED_UNFRAMED_HEADER, type Origin } from './message.ts'

/** Another VM with an open connection for one request. */
export interface PeerConnection { vm: VmId, address: string, connection: Socket }

export interface PeerForwardingOptions {
  self: Candidate
  /** Live VMs, this one included. */
  vms: () => readonly Candidate[]
  /** Whether this VM is cut off from a service that others reach. */
  isCutOff: (service: ServiceId) => boolean
  /** Whether another VM may take requests of a service. */
  mayServe: (vm: VmId, service: ServiceId) => boolean
  /** Caller address of a VM; `undefined` if it is not known. */
  addressOf: (vm: VmId) => string | undefined
  /** Keys of the links between the VMs, the current one first. */
  keys: () => readonly string[]
  /** Opens a connection; resolves with `undefined` if that fails or takes longer. */
  connect: (address: string, timeoutMs: number) => Promise<Socket | undefined>
  metrics: Metrics
  random: ChoiceOptions['random']
}

export type PeerForwarding = ReturnType<typeof createPeerForwarding>

export function createPeerForwarding ({ self, vms, isCutOff, mayServe, addressOf, keys, connect, metrics, random }: PeerForwardingOptions) {
  /** Requests that other VMs are serving for this one. */
  const handedOn = new Map<VmId, number>()
  metrics.gauge('handed_on', 'Requests that other VMs are serving for this one', () => [...handedOn.values()].reduce((sum, count) => sum + count, 0))

  function count (vm: VmId, by: 1 | -1): void {
    const left = (handedOn.get(vm) ?? 0) + by
    if (left > 0) handedOn.set(vm, left)
    else handedOn.delete(vm)
  }

  return {
    /** Whether a request must go through another VM. One that another VM has handed on is never handed on again. */
    mustForward: (service: ServiceId, { origin }: CallerRequest): boolean => origin === undefined && isCutOff(service),

    /** Whether a request that another VM has handed on cannot be served here either. */
    mustRefuse: (service: ServiceId, { origin }: CallerRequest): boolean => origin !== undefined && isCutOff(service),

    /** Opens a connection to a VM that reaches the service; adds the VMs that it tries. Resolves with `undefined` if there is none. */
    async open (service: ServiceId, tried: Set<VmId>): Promise<PeerConnection | undefined> {
      const chosen = choosePeer({
        vms: vms(), self, isUsable: vm => !tried.has(vm) && mayServe(vm, service) && addressOf(vm) !== undefined, handedOnTo: vm => handedOn.get(vm) ?? 0, random
      })
      if (!chosen) return undefined
      tried.add(chosen.vm)
      const address = addressOf(chosen.vm)!
      const connection = await connect(address, PEER_CONNECT_TIMEOUT_MS)
      metrics.count('peer_forwarding', connection ? 'connected' : 'unreachable')
      return connection && { vm: chosen.vm, address, connection }
    },

    /** Counts a request that a VM is serving; returns a function that ends this. */
    begin (vm: VmId): () => void {
      count(vm, 1)
      return () => count(vm, -1)
    },

    /** Headers of a request for another VM: those of the caller and the statement of this VM. */
    encodeHeaders ({ id, method, target, rawHeaders = [] }: CallerRequest, receiver: VmId, origin: Omit<Origin, 'vm'>, bodyBytes: number): string[] {
      const headers = endToEndHeaders(rawHeaders)
      headers.push(FORWARDED_HEADER, encodeOrigin({ vm: self.vm, ...origin }, { receiver, id, method, target }, keys()[0] ?? ''))
      if (bodyBytes > 0 || !['GET', 'HEAD', 'DELETE'].includes(method)) headers.push('Content-Length', String(bodyBytes))
      return headers
    },

    /** Headers of a backend server's response for the VM that handed the request on, which must not take them for statements of this VM. */
    responseHeaders: (headers: string[], { origin }: CallerRequest): string[] =>
      origin ? FORWARDED_STATEMENTS.reduce(withoutHeader, headers) : headers,

    /** Adds to a decoded request what the VM that handed it on states about it, if one did. */
    receive (request: CallerRequest, rawHeaders: readonly string[]): CallerRequest {
      // The sender adds its header behind those of the caller, who may send one of that name, too.
      const value = findHeaders(rawHeaders, FORWARDED_HEADER).at(-1)
      const origin = value === undefined || keys().length === 0 ? undefined : decodeOrigin(value, { receiver: self.vm, id: request.id, method: request.method, target: request.target }, keys())
      if (!origin) return { ...request, rawHeaders }
      return {
        ...request,
        origin,
        // The limit of the headers is for those of the caller.
        rawHeaders: withoutLastHeader(rawHeaders, FORWARDED_HEADER),
        headers: withoutLastHeader(request.headers, FORWARDED_HEADER),
        timeoutMs: Math.min(request.timeoutMs ?? Infinity, origin.remainingMs),
        lastEventId: origin.lastEventId ?? request.lastEventId,
        // The events that the caller has must be followed by those of the same model.
        model: origin.model ?? request.model
      }
    }
  }
}

/** Headers that belong to one connection, and the length of the body, which is known here even if the caller sent chunks. */
const CONNECTION_HEADERS = new Set(['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'content-length'])

function endToEndHeaders (raw: readonly string[]): string[] {
  const listed = findHeaders(raw, 'Connection').join().toLowerCase().split(',').map(name => name.trim())
  return filterHeaders(raw, name => !CONNECTION_HEADERS.has(name) && !listed.includes(name))
}

/** `raw` alternates names and values, here and in the result. */
export function withoutHeader (raw: readonly string[], excluded: string): string[] {
  return filterHeaders(raw, name => name !== excluded.toLowerCase())
}

function filterHeaders (raw: readonly string[], isKept: (name: string) => boolean): string[] {
  const kept: string[] = []
  for (let i = 0; i < raw.length; i += 2) if (isKept(raw[i]!.toLowerCase())) kept.push(raw[i]!, raw[i + 1]!)
  return kept
}

function withoutLastHeader (raw: readonly string[], excluded: string): string[] {
  const last = raw.findLastIndex((name, index) => index % 2 === 0 && name.toLowerCase() === excluded.toLowerCase())
  return last < 0 ? [...raw] : [...raw.slice(0, last), ...raw.slice(last + 2)]
}

function findHeaders (raw: readonly string[], name: string): string[] {
  return raw.filter((_, index) => index % 2 === 1 && raw[index - 1]!.toLowerCase() === name.toLowerCase())
}
