/** Streams a watch as newline-delimited JSON: the events after a version, then new events and periodic bookmarks. */
import { PassThrough } from 'node:stream'
import type { ObjectStore } from './store.ts'
import { API_VERSION, type WireEvent, type WireObject } from './types.ts'

export interface WatchOptions {
  kind: string
  resourceVersion: number
  /** Time after which the server ends the watch, from the `timeoutSeconds` parameter. */
  timeoutMs: number
  bookmarkMs: number
  /** While it returns true, events and bookmarks are withheld. */
  isSilent: () => boolean
}

export interface WatchStream {
  stream: PassThrough
  end (): void
}

/** Throws `Expired` if the history no longer covers the events after the version. */
export function openWatch (store: ObjectStore, { kind, resourceVersion, timeoutMs, bookmarkMs, isSilent }: WatchOptions): WatchStream {
  const pending = store.eventsAfter(kind, resourceVersion)
  const stream = new PassThrough()
  const send = (event: WireEvent) => { stream.write(JSON.stringify(event) + '\n') }
  // A bookmark guarantees that all events before it were sent, so none may be sent while events are withheld.
  const flush = () => {
    if (isSilent()) return
    for (const event of pending.splice(0)) send(event)
    send(bookmark(kind, store.resourceVersion()))
  }

  const unsubscribe = store.subscribe(event => {
    if (event.object.kind !== kind) return
    if (isSilent() || pending.length > 0) pending.push(event)
    else send(event)
  })
  const timers = [setInterval(flush, bookmarkMs), setTimeout(() => end(), timeoutMs)]
  for (const timer of timers) timer.unref()

  let ended = false
  function end (): void {
    if (ended) return
    ended = true
    unsubscribe()
    for (const timer of timers) clearTimeout(timer)
    stream.end()
  }

  // The first bookmark is sent at once, so that the client receives the response headers before the first event.
  flush()
  return { stream, end }
}

function bookmark (kind: string, resourceVersion: number): WireEvent {
  const object: WireObject = { apiVersion: API_VERSION, kind, metadata: { name: '', resourceVersion: String(resourceVersion) } }
  return { type: 'BOOKMARK', object }
}
