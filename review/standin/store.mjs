/** Stand-in of the platform's store, as PROTOCOL.md describes it: linearizable calls, pages, long polls, a history. */
import { createServer } from 'node:http'

/**
 * `pageEntries`: entries in one page of a list. `answerMs`: time that the store takes for a call. `historyMs`: time for
 * which changes are kept.
 */
export async function startStore ({ pageEntries = 500, answerMs = 4, historyMs = 20_000 } = {}) {
  const kinds = new Map()
  const changes = []
  let revision = 100
  const waiting = new Set()
  /** Greatest revision that the history no longer contains. */
  let droppedRevision = 0
  const listed = []

  const objectsOf = kind => kinds.get(kind) ?? kinds.set(kind, new Map()).get(kind)
  const namesOf = kind => [...objectsOf(kind).keys()].sort()

  function record (kind, object, deleted) {
    const now = performance.now()
    changes.push({ atMs: now, revision, kind, object: structuredClone(object), deleted })
    while (changes.length > 0 && now - changes[0].atMs > historyMs) droppedRevision = changes.shift().revision
    for (const check of [...waiting]) check()
  }

  function put (kind, name, spec) {
    const existing = objectsOf(kind).get(name)
    if (existing && JSON.stringify(existing.spec) === JSON.stringify(spec)) return existing
    revision++
    const object = { metadata: { name, revision, create_rev: existing?.metadata.create_rev ?? revision }, spec, ...existing?.status !== undefined && { status: existing.status } }
    objectsOf(kind).set(name, object)
    record(kind, object, false)
    return object
  }

  function putStatus (kind, name, status) {
    const existing = objectsOf(kind).get(name)
    if (JSON.stringify(existing.status) === JSON.stringify(status)) return existing
    revision++
    const object = { ...existing, metadata: { ...existing.metadata, revision }, status }
    objectsOf(kind).set(name, object)
    record(kind, object, false)
    return object
  }

  function remove (kind, name) {
    const existing = objectsOf(kind).get(name)
    if (!existing) return undefined
    objectsOf(kind).delete(name)
    revision++
    record(kind, { ...existing, metadata: { ...existing.metadata, revision } }, true)
    return existing
  }

  function list (kind, after) {
    const names = namesOf(kind).filter(name => name > after)
    const page = names.slice(0, pageEntries)
    listed.push({ kind, after, atMs: performance.now() })
    return [200, { entries: page.map(name => objectsOf(kind).get(name)), has_more: names.length > page.length, as_of: revision }]
  }

  function watch (kind, from, waitMs, incoming) {
    if (from < droppedRevision) return [410, {}]
    const found = () => changes.filter(change => change.kind === kind && change.revision > from)
    const answer = () => [200, { events: found().map(({ object, deleted }) => ({ object, deleted })), as_of: revision }]
    if (found().length > 0) return answer()
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer)
        waiting.delete(check)
        resolve(answer())
      }
      const check = () => { if (found().length > 0) finish() }
      const timer = setTimeout(finish, waitMs)
      waiting.add(check)
      incoming.socket.once('close', () => {
        clearTimeout(timer)
        waiting.delete(check)
      })
    })
  }

  function call (incoming, { pathname, searchParams }, body) {
    const [, , , kind, name, part] = pathname.split('/').map(decodeURIComponent)
    if (incoming.method === 'POST') {
      if (objectsOf(kind).has(body.metadata.name)) return [409, objectsOf(kind).get(body.metadata.name)]
      return [200, put(kind, body.metadata.name, body.spec)]
    }
    if (!name && searchParams.has('watch')) return watch(kind, Number(searchParams.get('watch')), Number(searchParams.get('wait_ms') ?? 0), incoming)
    if (!name) return list(kind, searchParams.get('after') ?? '')
    const existing = objectsOf(kind).get(name)
    if (!existing) return [404, {}]
    if (incoming.method === 'GET') return [200, existing]
    const expected = body?.metadata?.revision ?? searchParams.get('revision')
    if (expected != null && Number(expected) !== existing.metadata.revision) return [409, existing]
    if (incoming.method === 'DELETE') return [200, remove(kind, name)]
    return [200, part === 'status' ? putStatus(kind, name, body.status) : put(kind, name, body.spec)]
  }

  const server = createServer((incoming, outgoing) => {
    const chunks = []
    incoming.on('data', chunk => chunks.push(chunk))
    incoming.on('end', () => {
      setTimeout(async () => {
        const [status, result] = await call(incoming, new URL(incoming.url, 'http://store'), chunks.length > 0 ? JSON.parse(Buffer.concat(chunks)) : undefined)
        const text = JSON.stringify(result)
        outgoing.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
        outgoing.end(text)
      }, answerMs)
    })
  })
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))

  return {
    address: `127.0.0.1:${server.address().port}`,
    put,
    remove,
    /** Pages of lists that were read. */
    listed,
    names: namesOf,
    get: (kind, name) => objectsOf(kind).get(name),
    close () {
      server.close()
      server.closeAllConnections()
    }
  }
}
