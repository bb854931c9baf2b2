/**
 * Client of the object API. Reads are retried with backoff and jitter within their timeout. A write is sent at most
 * once. When its response is lost, the outcome is determined by reading the object, which may take up to the timeout
 * again. If the object API has not responded since a call failed, a write is preceded by a read with the same timeout; if
 * that read fails, the write is not sent and fails with `object_api_unavailable`, which means that it certainly did not
 * take effect.
 */
import { randomUUID } from 'node:crypto'
import type { Clock } from '../clock/index.ts'
import { ObjectApiError } from '../errors/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { backoffMs } from './backoff.ts'
import { DEFAULT_TIMEOUT_MS, MAX_READ_RETRIES, WATCH_IDLE_TIMEOUT_MS } from './constants.ts'
import { resolveWrite, type PendingWrite, type WriteOutcome } from './resolve.ts'
import { createTransport, TransportError, type ApiResponse } from './transport.ts'
import type { ObjectApi, ObjectKind, ObjectList, StoredObject } from './types.ts'
import { watchKinds } from './watch.ts'
import { collectionPath, decodeObject, decodeVersioned, encodeObject, objectPath, type VersionedObject, type WireObject } from './wire.ts'

export type { ObjectApi, ObjectKind, ObjectList, StoredObject, WatchEvent } from './types.ts'
export type { PendingWrite, WriteOutcome } from './resolve.ts'

export interface ObjectApiOptions {
  url: string
  timeoutMs?: number
  clock: Clock
  metrics: Metrics
  log?: Log
  /** A watch that receives no line for this time is closed. */
  watchIdleMs?: number
  /** Random number source for jitter; returns values from 0 to 1. */
  random?: () => number
}

export interface ObjectApiClient extends ObjectApi {
  /** Monotonic time of the last response or watch line from the object API; -Infinity before the first. */
  lastContact (): number
  /** Determines the outcome of a write whose response was lost, by reading the object. */
  resolveWrite (write: PendingWrite, timeoutMs?: number): Promise<WriteOutcome>
}

export function createObjectApi ({
  url, timeoutMs: defaultTimeoutMs = DEFAULT_TIMEOUT_MS, clock, metrics, log, watchIdleMs = WATCH_IDLE_TIMEOUT_MS, random = Math.random
}: ObjectApiOptions): ObjectApiClient {
  const transport = createTransport(url)
  let lastContact = -Infinity
  let isReachable = true

  function recordContact (): void {
    lastContact = clock.now()
    if (!isReachable) log?.info('object API is reachable again', { url })
    isReachable = true
  }

  function recordFailure (error: TransportError): void {
    metrics.count('object_api_failures', error.reason)
    if (isReachable) log?.warn('object API is not reachable', { url, cause: error.message })
    isReachable = false
  }

  async function call (method: string, path: string, body: object | undefined, timeoutMs: number): Promise<ApiResponse> {
    const startedMs = clock.now()
    metrics.count('object_api_calls', method.toLowerCase())
    try {
      const response = await transport.call(method, path, body, timeoutMs)
      recordContact()
      metrics.latency('object_api', clock.now() - startedMs)
      return response
    } catch (error) {
      if (error instanceof TransportError) recordFailure(error)
      throw error
    }
  }

  /** Retries transport errors and 5xx responses; a 4xx response is returned to the caller. */
  async function readWithRetries (path: string, timeoutMs: number, retries = MAX_READ_RETRIES): Promise<ApiResponse> {
    const deadlineMs = clock.now() + timeoutMs
    for (let attempt = 0; ; attempt++) {
      const result = await attemptRead(path, Math.max(1, deadlineMs - clock.now()))
      if ('response' in result) return result.response
      const waitMs = backoffMs(attempt, random)
      if (attempt >= retries || clock.now() + waitMs >= deadlineMs) throw result.error
      metrics.count('retries', 'object_api_read')
      await clock.sleep(waitMs)
    }
  }

  async function attemptRead (path: string, timeoutMs: number): Promise<{ response: ApiResponse } | { error: ObjectApiError }> {
    try {
      const response = await call('GET', path, undefined, timeoutMs)
      if (response.status < 500) return { response }
      metrics.count('object_api_failures', `status_${response.status}`)
      return { error: unavailableError(`the object API answered with status ${response.status}`) }
    } catch (error) {
      return { error: unavailableError((error as Error).message, error) }
    }
  }

  async function readObject<Spec> (kind: ObjectKind, name: string, timeoutMs: number, retries?: number): Promise<VersionedObject<Spec> | undefined> {
    const { status, body } = await readWithRetries(objectPath(kind, name), timeoutMs, retries)
    if (status === 404) return undefined
    if (status !== 200) throw statusError(status, body)
    return decodeVersioned<Spec>(kind, body as WireObject)
  }

  async function list<Spec> (kind: ObjectKind, timeoutMs: number): Promise<ObjectList<Spec>> {
    const { status, body } = await readWithRetries(collectionPath(kind), timeoutMs)
    if (status !== 200) throw statusError(status, body)
    const { items, metadata } = body as { items: WireObject[], metadata: { resourceVersion: string } }
    return { items: items.map(item => decodeObject<Spec>(kind, item)), resourceVersion: Number(metadata.resourceVersion) }
  }

  function resolve (write: PendingWrite, timeoutMs: number): Promise<WriteOutcome> {
    const deadlineMs = clock.now() + timeoutMs
    const remaining = () => Math.max(1, deadlineMs - clock.now())
    return resolveWrite(write, { read: () => readObject(write.kind, write.name, remaining(), 0), clock, deadlineMs, random })
  }

  /**
   * Sends a write. Returns the object in the response; if the outcome is not known from the response, determines it by
   * reading and returns the object or throws the matching error.
   */
  async function write (pending: PendingWrite, send: () => Promise<ApiResponse>, timeoutMs: number): Promise<StoredObject | undefined> {
    if (!isReachable) await readObject(pending.kind, pending.name, timeoutMs, 0)
    try {
      const { status, body } = await send()
      if (status < 300) return decodeObject(pending.kind, body as WireObject)
      // A 503 response is taken as a refusal without effect; after another 5xx response the outcome is not known.
      if (status < 500 || status === 503) throw statusError(status, body)
      metrics.count('object_api_failures', `status_${status}`)
    } catch (error) {
      if (!(error instanceof TransportError)) throw error
      if (!error.mayHaveArrived) throw unavailableError(error.message, error)
    }
    return toWriteResult(pending, await resolve(pending, timeoutMs))
  }

  function toWriteResult (pending: PendingWrite, result: WriteOutcome): StoredObject | undefined {
    metrics.count('object_api_calls', `resolved_${result.outcome}`)
    const { operation, kind, name } = pending
    const subject = `${operation} of ${kind}/${name}`
    if (result.outcome === 'landed') return result.object
    if (result.outcome === 'unknown') {
      throw new ObjectApiError('object_write_unknown', { detail: `the response to the ${subject} was lost and its outcome is unknown` })
    }
    const detail = `${subject}: the object is at version ${result.current.resourceVersion}`
    throw new ObjectApiError(operation === 'create' ? 'object_exists' : 'object_conflict', { detail })
  }

  /** Determines the version of a deletion whose response does not include it: the version of a list without the object. */
  async function versionOfAbsence (kind: ObjectKind, name: string, timeoutMs: number): Promise<number> {
    const { items, resourceVersion } = await list(kind, timeoutMs)
    const present = items.find(item => item.name === name)
    // The object was created again; the version before its own is the latest at which it can have been absent.
    return present ? present.resourceVersion - 1 : resourceVersion
  }

  return {
    async get<Spec> (kind: ObjectKind, name: string, { timeoutMs = defaultTimeoutMs } = {}) {
      const found = await readObject<Spec>(kind, name, timeoutMs)
      if (!found) throw new ObjectApiError('object_not_found', { detail: `${kind}/${name} does not exist` })
      return found.object
    },
    list: (kind, { timeoutMs = defaultTimeoutMs } = {}) => list(kind, timeoutMs),
    async create<Spec> (kind: ObjectKind, name: string, spec: Spec, { timeoutMs = defaultTimeoutMs } = {}) {
      const writeId = randomUUID()
      const body = encodeObject({ kind, name, spec, writeId, baseVersion: 0 })
      const send = () => call('POST', collectionPath(kind), body, timeoutMs)
      return await write({ operation: 'create', kind, name, writeId, baseVersion: 0 }, send, timeoutMs) as StoredObject<Spec>
    },
    async update<Spec> (kind: ObjectKind, name: string, spec: Spec, resourceVersion: number, { timeoutMs = defaultTimeoutMs } = {}) {
      const writeId = randomUUID()
      const body = encodeObject({ kind, name, spec, writeId, baseVersion: resourceVersion })
      const send = () => call('PUT', objectPath(kind, name), body, timeoutMs)
      return await write({ operation: 'update', kind, name, writeId, baseVersion: resourceVersion }, send, timeoutMs) as StoredObject<Spec>
    },
    async delete (kind, name, resourceVersion, { timeoutMs = defaultTimeoutMs } = {}) {
      const body = { kind: 'DeleteOptions', preconditions: { resourceVersion: String(resourceVersion) } }
      const send = () => call('DELETE', objectPath(kind, name), body, timeoutMs)
      const pending: PendingWrite = { operation: 'delete', kind, name, writeId: randomUUID(), baseVersion: resourceVersion }
      const deleted = await write(pending, send, timeoutMs)
      if (deleted && deleted.resourceVersion > resourceVersion) return deleted.resourceVersion
      return versionOfAbsence(kind, name, timeoutMs)
    },
    watch (kinds, resourceVersion, signal) {
      metrics.count('object_api_calls', 'watch', kinds.length)
      return watchKinds(kinds, resourceVersion, signal, {
        transport, clock, timeoutMs: defaultTimeoutMs, idleTimeoutMs: watchIdleMs, onContact: recordContact
      })
    },
    lastContact: () => lastContact,
    resolveWrite: (pending, timeoutMs = defaultTimeoutMs) => resolve(pending, timeoutMs)
  }
}

function unavailableError (detail: string, cause?: unknown): ObjectApiError {
  return new ObjectApiError('object_api_unavailable', cause === undefined ? { detail } : { detail, cause })
}

/** Maps an HTTP status and the reason in the response body to an ObjectApiError. */
function statusError (status: number, body: unknown): ObjectApiError {
  const { reason, message } = (body ?? {}) as { reason?: string, message?: string }
  const options = message === undefined ? {} : { detail: message }
  if (status === 404) return new ObjectApiError('object_not_found', options)
  if (status === 409) return new ObjectApiError(reason === 'AlreadyExists' ? 'object_exists' : 'object_conflict', options)
  if (status === 410) return new ObjectApiError('object_gone', options)
  return new ObjectApiError('object_api_unavailable', { detail: `status ${status}: ${message ?? 'no message'}` })
}
