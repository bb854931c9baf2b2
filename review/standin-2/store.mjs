/** Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"): objects by kind and name, lists, watches and conditional writes. */
import { createServer } from 'node:http'

const MAX_HISTORY = 5000

export async function startStore () {
  const kinds = new Map()
  /** Changes in the order of their revisions. */
  let history = []
  let oldestRevision = 0
  let revision = 1
  const waiting = new Set()
  /** Channels of the watches that wait, with their kinds. */
  const watchChannels = new Map()

  const objectsOf = kind => {
    if (!kinds.has(kind)) kinds.set(kind, new Map())
    return kinds.get(kind)
  }

  function recordChange (kind, object, deleted) {
    history.push({ kind, revision, object: structuredClone(object), deleted })
    if (history.length > MAX_HISTORY) {
      oldestRevision = history[history.length - MAX_HISTORY - 1].revision
      history = history.slice(-MAX_HISTORY)
    }
    for (const wake of [...waiting]) wake()
  }

  /** Writes the spec or the status; a write that changes nothing does not increase the revision. */
  function put (kind, name, part, value) {
    const objects = objectsOf(kind)
    const existing = objects.get(name)
    if (existing && JSON.stringify(existing[part]) === JSON.stringify(value)) return existing
    revision++
    const object = existing ?? { metadata: { name, create_rev: revision, finalizers: [], deleting: false }, spec: null, status: null }
    object[part] = value
    object.metadata.revision = revision
    objects.set(name, object)
    recordChange(kind, object, false)
    return object
  }

  function remove (kind, name) {
    const object = objectsOf(kind).get(name)
    if (!object) return undefined
    objectsOf(kind).delete(name)
    object.metadata.revision = ++revision
    recordChange(kind, object, true)
    return object
  }

  const changesAfter = (kind, after) => history.filter(change => change.kind === kind && change.revision > after)

  async function watch (kind, after, waitMs, response) {
    if (after < oldestRevision || after > revision) return [410, {}]
    if (changesAfter(kind, after).length === 0) {
      await new Promise(resolve => {
        const finish = () => {
          clearTimeout(timer)
          waiting.delete(wake)
          resolve()
        }
        const wake = () => { if (changesAfter(kind, after).length > 0) finish() }
        const timer = setTimeout(finish, waitMs)
        waiting.add(wake)
        watchChannels.set(response.socket, kind)
        response.once('close', finish)
      })
      watchChannels.delete(response.socket)
    }
    const events = changesAfter(kind, after).map(({ object, deleted }) => ({ object, deleted }))
    return [200, { events, as_of: revision }]
  }

  async function call (method, url, body, response) {
    const [, , , kind, name, part] = url.pathname.split('/').map(decodeURIComponent)
    if (method === 'GET' && name === undefined) {
      if (url.searchParams.has('watch')) return await watch(kind, Number(url.searchParams.get('watch')), Number(url.searchParams.get('wait_ms') ?? 0), response)
      const entries = [...objectsOf(kind).values()].sort((left, right) => left.metadata.name < right.metadata.name ? -1 : 1)
      return [200, { entries, has_more: false, as_of: revision }]
    }
    if (method === 'POST') {
      if (objectsOf(kind).has(body.metadata.name)) return [409, objectsOf(kind).get(body.metadata.name)]
      return [200, put(kind, body.metadata.name, 'spec', body.spec)]
    }
    const object = objectsOf(kind).get(name)
    if (!object) return [404, {}]
    const expected = body?.metadata?.revision ?? (url.searchParams.has('revision') ? Number(url.searchParams.get('revision')) : undefined)
    if (method !== 'GET' && expected !== undefined && expected !== object.metadata.revision) return [409, object]
    if (method === 'GET') return [200, object]
    if (method === 'DELETE') return [200, remove(kind, name)]
    if (method === 'PUT') return [200, part === 'status' ? put(kind, name, 'status', body.status) : put(kind, name, 'spec', body.spec)]
    return [405, {}]
  }

  const server = createServer(async (request, response) => {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const body = chunks.length > 0 ? JSON.parse(Buffer.concat(chunks).toString()) : undefined
    const [status, result] = await call(request.method, new URL(request.url, 'http://store'), body, response)
    const text = JSON.stringify(result)
    response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text), 'Store-Era': '1' })
    response.end(text)
  })
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))

  return {
    address: `127.0.0.1:${server.address().port}`,
    put: (kind, name, spec) => put(kind, name, 'spec', spec),
    get: (kind, name) => objectsOf(kind).get(name),
    remove,
    /** Cuts the watches of a kind that wait, and returns how many they were. */
    cutWatches (kind) {
      const channels = [...watchChannels].filter(([, watched]) => watched === kind)
      for (const [socket] of channels) socket.destroy()
      return channels.length
    },
    names: kind => [...objectsOf(kind).keys()],
    close () {
      server.close()
      server.closeAllConnections()
    }
  }
}
