/** Stand-in of the platform's store: objects by kind and name, one revision counter, lists, watches and conditional writes. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'

const PAGE_ENTRIES = 50
const HISTORY_MS = 20_000

interface Metadata { name: string, revision: number, create_rev: number, finalizers: string[], deleting: boolean }
export interface StoreObject { metadata: Metadata, spec: unknown, status: unknown }
interface Change { atMs: number, revision: number, kind: string, object: StoreObject, deleted: boolean }

/** What the store does with a call: it serves it, does not answer, answers 503, or does it and does not answer. */
export type StoreFault = 'none' | 'silent' | 'busy' | 'lost'

export interface Store {
  /** Writes what the operator and the backend servers write. */
  put(kind: string, name: string, spec: unknown): void
  remove(kind: string, name: string): void
  peek(kind: string, name: string): StoreObject | undefined
  setFault(fault: StoreFault): void
  listen(host: string, port: number): Promise<void>
  close(): void
}

export function createStore (): Store {
  const objects = new Map<string, Map<string, StoreObject>>()
  let history: Change[] = []
  /** Revision up to which the history has been dropped. */
  let droppedRevision = 0
  let revision = 100
  let fault: StoreFault = 'none'
  const waiting = new Set<() => void>()

  const ofKind = (kind: string) => objects.get(kind) ?? objects.set(kind, new Map()).get(kind)!

  function recordChange (kind: string, object: StoreObject, deleted: boolean): void {
    const atMs = performance.now()
    history.push({ atMs, revision, kind, object, deleted })
    for (const change of history.filter(change => change.atMs < atMs - HISTORY_MS)) droppedRevision = Math.max(droppedRevision, change.revision)
    history = history.filter(change => change.atMs >= atMs - HISTORY_MS)
    for (const wake of [...waiting]) wake()
  }

  function write (kind: string, name: string, change: Partial<StoreObject>): StoreObject {
    const known = ofKind(kind).get(name)
    const next = { spec: null, status: null, ...known, ...change }
    if (known && JSON.stringify([known.spec, known.status]) === JSON.stringify([next.spec, next.status])) return known
    revision++
    const object = { ...next, metadata: { name, revision, create_rev: known?.metadata.create_rev ?? revision, finalizers: [], deleting: false } }
    ofKind(kind).set(name, object)
    recordChange(kind, object, false)
    return object
  }

  function remove (kind: string, name: string): StoreObject | undefined {
    const known = ofKind(kind).get(name)
    if (!known) return undefined
    revision++
    ofKind(kind).delete(name)
    const object = { ...known, metadata: { ...known.metadata, revision } }
    recordChange(kind, object, true)
    return object
  }

  async function watch (kind: string, after: number, waitMs: number): Promise<[number, unknown]> {
    const endMs = performance.now() + waitMs
    for (;;) {
      if (after < droppedRevision) return [410, {}]
      const changes = history.filter(change => change.kind === kind && change.revision > after)
      const leftMs = endMs - performance.now()
      if (changes.length > 0 || leftMs <= 0) return [200, { events: changes.map(({ object, deleted }) => ({ object, deleted })), as_of: revision }]
      await new Promise<void>(resolve => {
        const wake = () => {
          clearTimeout(timer)
          waiting.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, leftMs)
        waiting.add(wake)
      })
    }
  }

  function list (kind: string, after: string): [number, unknown] {
    const names = [...ofKind(kind).keys()].filter(name => name > after).sort()
    const entries = names.slice(0, PAGE_ENTRIES).map(name => ofKind(kind).get(name))
    return [200, { entries, has_more: names.length > PAGE_ENTRIES, as_of: revision }]
  }

  function change (method: string, kind: string, name: string, isStatus: boolean, condition: number | undefined, body: Partial<StoreObject>): [number, unknown] {
    const known = ofKind(kind).get(name)
    if (method === 'POST') return known ? [409, known] : [201, write(kind, name, { spec: body.spec })]
    if (!known) return [404, {}]
    if (condition !== undefined && condition !== known.metadata.revision) return [409, known]
    if (method === 'DELETE') return [200, remove(kind, name)]
    return [200, write(kind, name, isStatus ? { status: body.status } : { spec: body.spec })]
  }

  async function answer (method: string, url: URL, body: Partial<StoreObject> | undefined): Promise<[number, unknown]> {
    const [, , , kind = '', name, part] = url.pathname.split('/').map(decodeURIComponent)
    const watched = url.searchParams.get('watch')
    if (method === 'GET' && name === undefined) return watched === null ? list(kind, url.searchParams.get('after') ?? '') : await watch(kind, Number(watched), Number(url.searchParams.get('wait_ms') ?? 0))
    if (method === 'GET') {
      const known = ofKind(kind).get(name!)
      return known ? [200, known] : [404, {}]
    }
    const condition = body?.metadata?.revision ?? (url.searchParams.has('revision') ? Number(url.searchParams.get('revision')) : undefined)
    return change(method, kind, name ?? body!.metadata!.name, part === 'status', condition, body ?? {})
  }

  async function respond (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of incoming) chunks.push(chunk as Buffer)
    if (fault === 'silent') return
    if (fault === 'busy') return send(outgoing, 503, {})
    const text = Buffer.concat(chunks).toString('utf8')
    const [status, result] = await answer(incoming.method!, new URL(incoming.url!, 'http://store'), text ? JSON.parse(text) as Partial<StoreObject> : undefined)
    if (fault === 'lost' && incoming.method !== 'GET') return
    send(outgoing, status, result)
  }

  function send (outgoing: ServerResponse, status: number, body: unknown): void {
    const text = JSON.stringify(body)
    outgoing.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
    outgoing.end(text)
  }

  const server = createServer((incoming, outgoing) => void respond(incoming, outgoing).catch(() => outgoing.destroy()))

  return {
    put: (kind, name, spec) => { write(kind, name, { spec }) },
    remove: (kind, name) => { remove(kind, name) },
    peek: (kind, name) => ofKind(kind).get(name),
    setFault (value) { fault = value },
    listen: (host, port) => new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, host, resolve)
    }),
    close () {
      server.close()
      server.closeAllConnections()
    }
  }
}
