/**
 * Watches several kinds over one connection per kind and merges their events. Events of one kind stay in order. The
 * order between kinds is not preserved; the configuration replica does not need it, because it merges records by version.
 */
import type { IncomingMessage } from 'node:http'
import { createInterface } from 'node:readline'
import type { Clock } from '../clock/index.ts'
import { ObjectApiError } from '../errors/index.ts'
import { WATCH_TIMEOUT_SECONDS } from './constants.ts'
import { TransportError, type Transport } from './transport.ts'
import type { ObjectKind, WatchEvent } from './types.ts'
import { collectionPath, decodeObject, type WireEvent } from './wire.ts'

export interface WatchOptions {
  transport: Transport
  clock: Clock
  timeoutMs: number
  idleTimeoutMs: number
  /** Called for each received line. */
  onContact: () => void
}

export async function * watchKinds (
  kinds: readonly ObjectKind[], resourceVersion: number, signal: AbortSignal, options: WatchOptions
): AsyncGenerator<WatchEvent> {
  const queue: WatchEvent[] = []
  let wakeConsumer = () => {}
  let ended = false
  let failure: unknown

  const abortController = new AbortController()
  const onAbort = () => abortController.abort()
  signal.addEventListener('abort', onAbort, { once: true })
  if (signal.aborted) abortController.abort()
  const emit = (event: WatchEvent) => {
    queue.push(event)
    wakeConsumer()
  }
  const kindStreams = kinds.map(kind => streamKind(kind, resourceVersion, abortController.signal, emit, options))
  void Promise.race(kindStreams).catch(error => { failure = error }).finally(() => {
    ended = true
    wakeConsumer()
  })
  try {
    while (!signal.aborted) {
      const event = queue.shift()
      if (event) yield event
      else if (ended) break
      else await new Promise<void>(resolve => { wakeConsumer = resolve })
    }
  } finally {
    abortController.abort()
    signal.removeEventListener('abort', onAbort)
    await Promise.allSettled(kindStreams)
  }
  if (failure !== undefined && !signal.aborted) throw failure
}

/** Emits the events of one kind; resolves when the connection ends or the signal aborts. */
async function streamKind (
  kind: ObjectKind, resourceVersion: number, signal: AbortSignal, emit: (event: WatchEvent) => void, options: WatchOptions
): Promise<void> {
  if (signal.aborted) return
  const query = `watch=1&allowWatchBookmarks=true&resourceVersion=${resourceVersion}&timeoutSeconds=${WATCH_TIMEOUT_SECONDS}`
  const response = await openStream(`${collectionPath(kind)}?${query}`, options)
  const close = () => { response.destroy() }
  if (signal.aborted) return close()
  signal.addEventListener('abort', close, { once: true })
  try {
    await readLines(response, options, line => emit(decodeEvent(kind, line)))
  } finally {
    signal.removeEventListener('abort', close)
    close()
  }
}

async function openStream (path: string, { transport, timeoutMs }: WatchOptions): Promise<IncomingMessage> {
  try {
    const response = await transport.open(path, timeoutMs)
    if (response.statusCode === 200) return response
    response.destroy()
    if (response.statusCode === 410) throw new ObjectApiError('object_gone')
    throw new ObjectApiError('object_api_unavailable', { detail: `the watch was refused with status ${response.statusCode}` })
  } catch (error) {
    if (error instanceof TransportError) throw new ObjectApiError('object_api_unavailable', { detail: error.message, cause: error })
    throw error
  }
}

async function readLines (response: IncomingMessage, { clock, idleTimeoutMs, onContact }: WatchOptions, handleLine: (line: string) => void): Promise<void> {
  let cancelIdle = clock.after(idleTimeoutMs, () => response.destroy())
  const lines = createInterface({ input: response, crlfDelay: Infinity })
  // A broken connection ends the watch without an error, like a regular end; the caller resumes from its last version.
  response.on('error', () => lines.close())
  response.once('close', () => lines.close())
  try {
    for await (const line of lines) {
      cancelIdle()
      cancelIdle = clock.after(idleTimeoutMs, () => response.destroy())
      onContact()
      if (line.length > 0) handleLine(line)
    }
  } finally {
    cancelIdle()
  }
}

function decodeEvent (kind: ObjectKind, line: string): WatchEvent {
  const { type, object } = JSON.parse(line) as WireEvent
  if (type !== 'ERROR') return { type, object: decodeObject(kind, object) }
  const name = object.code === 410 ? 'object_gone' : 'object_api_unavailable'
  throw new ObjectApiError(name, object.message === undefined ? {} : { detail: object.message })
}
