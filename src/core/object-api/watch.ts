/**
 * Watches several kinds through one connection per kind and merges their events. Events of one kind stay in order;
 * the order between kinds is not kept, which the merge rule of the configuration allows.
 */
import type { IncomingMessage } from 'node:http'
import { createInterface } from 'node:readline'
import type { Clock } from '../clock/index.ts'
import { ObjectApiError } from '../errors/index.ts'
import { WATCH_SECONDS } from './constants.ts'
import { TransportError, type Transport } from './transport.ts'
import type { ObjectKind, WatchEvent } from './types.ts'
import { collectionPath, decodeObject, type WireEvent } from './wire.ts'

export interface WatchOptions {
  transport: Transport
  clock: Clock
  timeoutMs: number
  idleMs: number
  /** Called for each line that arrives. */
  onContact: () => void
}

export async function * watchKinds (
  kinds: readonly ObjectKind[], resourceVersion: number, signal: AbortSignal, options: WatchOptions
): AsyncGenerator<WatchEvent> {
  const queue: WatchEvent[] = []
  let wake = () => {}
  let ended = false
  let failure: unknown

  const stop = new AbortController()
  const onAbort = () => stop.abort()
  signal.addEventListener('abort', onAbort, { once: true })
  if (signal.aborted) stop.abort()
  const emit = (event: WatchEvent) => {
    queue.push(event)
    wake()
  }
  const streams = kinds.map(kind => streamKind(kind, resourceVersion, stop.signal, emit, options))
  void Promise.race(streams).catch(error => { failure = error }).finally(() => {
    ended = true
    wake()
  })
  try {
    while (!signal.aborted) {
      const event = queue.shift()
      if (event) yield event
      else if (ended) break
      else await new Promise<void>(resolve => { wake = resolve })
    }
  } finally {
    stop.abort()
    signal.removeEventListener('abort', onAbort)
    await Promise.allSettled(streams)
  }
  if (failure !== undefined && !signal.aborted) throw failure
}

/** Resolves when the connection ends or the signal aborts. */
async function streamKind (
  kind: ObjectKind, resourceVersion: number, signal: AbortSignal, emit: (event: WatchEvent) => void, options: WatchOptions
): Promise<void> {
  if (signal.aborted) return
  const query = `watch=1&allowWatchBookmarks=true&resourceVersion=${resourceVersion}&timeoutSeconds=${WATCH_SECONDS}`
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

async function readLines (response: IncomingMessage, { clock, idleMs, onContact }: WatchOptions, handle: (line: string) => void): Promise<void> {
  let cancelIdle = clock.after(idleMs, () => response.destroy())
  const lines = createInterface({ input: response, crlfDelay: Infinity })
  // A cut connection ends the watch like a regular end; the caller continues from its last version.
  response.on('error', () => lines.close())
  response.once('close', () => lines.close())
  try {
    for await (const line of lines) {
      cancelIdle()
      cancelIdle = clock.after(idleMs, () => response.destroy())
      onContact()
      if (line.length > 0) handle(line)
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
