/**
 * Stand-in for the platform's object API: an in-memory store with an HTTP API that follows the Kubernetes API
 * conventions. Faults are controlled in process or over HTTP under `/control`.
 */
import Hapi, { type Lifecycle, type Request, type ResponseToolkit } from '@hapi/hapi'
import type { Log } from '../../core/logging/index.ts'
import { controlRoutes } from './control-routes.ts'
import { createFaults, type Call, type Faults } from './faults.ts'
import { createObjectStore, StatusError, type ObjectStore } from './store.ts'
import { API_PREFIX, API_VERSION, type ObjectApiControl, type WireObject } from './types.ts'
import { openWatch } from './watch.ts'

export type { CallCounters, CallFilter, ObjectApiControl, OutageMode } from './types.ts'

/** Leaves room for metadata beside the largest value, so that the store's own limit decides which values are too large. */
const MAX_REQUEST_BYTES = 4 * 1_048_576
const MAX_WATCH_SECONDS = 300

export interface ObjectApiServerOptions {
  host?: string
  /** 0 selects a free port. */
  port: number
  log?: Log
  bookmarkMs?: number
  /** Number of events kept for watches. */
  maxHistory?: number
}

export interface ObjectApiServer {
  url: string
  port: number
  control: ObjectApiControl
  close (): Promise<void>
}

export async function startObjectApiServer ({ host = '127.0.0.1', port, log, bookmarkMs = 1000, maxHistory }: ObjectApiServerOptions): Promise<ObjectApiServer> {
  const store = createObjectStore(maxHistory === undefined ? {} : { maxHistory })
  const faults = createFaults({ compact: store.compact })
  const server = Hapi.server({ host, port, routes: { payload: { maxBytes: MAX_REQUEST_BYTES } } })
  registerApi(server, { store, faults, bookmarkMs })
  server.route(controlRoutes(faults.control))
  await server.start()
  const boundPort = Number(server.info.port)
  const url = `http://${host}:${boundPort}`
  log?.info('object API stand-in started', { url })
  return {
    url,
    port: boundPort,
    control: faults.control,
    async close () {
      faults.control.outage('off')
      faults.control.cutWatches()
      await server.stop({ timeout: 100 })
      log?.info('object API stand-in stopped', { url })
    }
  }
}

interface ApiContext { store: ObjectStore, faults: Faults, bookmarkMs: number }

function registerApi (server: Hapi.Server, context: ApiContext): void {
  const { store } = context
  const collectionPath = `${API_PREFIX}/{kind}`
  const objectPath = `${collectionPath}/{name}`
  const read = (perform: (call: Call) => unknown) => readHandler(context, perform)
  const write = (status: number, perform: (call: Call, body: WireObject) => WireObject) => writeHandler(context, status, perform)

  server.route([
    { method: 'GET', path: objectPath, handler: read(({ kind, name }) => store.get(kind, name!)) },
    { method: 'GET', path: collectionPath, handler: listOrWatchHandler(context) },
    { method: 'POST', path: collectionPath, handler: write(201, ({ kind }, body) => store.create(kind, body)) },
    { method: 'PUT', path: objectPath, handler: write(200, ({ kind, name }, body) => store.update(kind, name!, body)) },
    { method: 'DELETE', path: objectPath, handler: write(200, ({ kind, name }, body) => store.delete(kind, name!, preconditionOf(body))) }
  ])
}

function preconditionOf (body: unknown): string | undefined {
  const options = body as { preconditions?: { resourceVersion?: string } } | null
  return options?.preconditions?.resourceVersion
}

function callOf (request: Request): Call {
  const { kind, name } = request.params as { kind: string, name?: string }
  const body = request.payload as WireObject | null
  return { method: request.method.toUpperCase(), kind, name: name ?? body?.metadata?.name }
}

function closeConnection (request: Request, h: ResponseToolkit): Lifecycle.ReturnValue {
  request.raw.req.socket.destroy()
  return h.abandon
}

/** Applies the outage mode and the delay. Returns false when the caller must close the connection without an answer. */
async function applyFaults ({ faults }: ApiContext): Promise<boolean> {
  if (faults.mode() === 'refuse') return false
  if (faults.mode() === 'hang') {
    await new Promise<void>(resolve => {
      const unregister = faults.registerOpenCall('hanging', () => {
        unregister()
        resolve()
      })
    })
    return false
  }
  if (faults.delayMs() > 0) await new Promise(resolve => setTimeout(resolve, faults.delayMs()))
  return true
}

function statusResponse (error: unknown, h: ResponseToolkit): Lifecycle.ReturnValue {
  if (!(error instanceof StatusError)) throw error
  const { code, reason, message } = error
  return h.response({ kind: 'Status', apiVersion: 'v1', status: 'Failure', reason, code, message }).code(code)
}

function readHandler (context: ApiContext, perform: (call: Call) => unknown): Lifecycle.Method {
  return async (request, h) => {
    context.faults.counters.reads += 1
    if (!await applyFaults(context)) return closeConnection(request, h)
    try {
      return perform(callOf(request)) as Lifecycle.ReturnValue
    } catch (error) {
      return statusResponse(error, h)
    }
  }
}

function listOrWatchHandler (context: ApiContext): Lifecycle.Method {
  const list = readHandler(context, ({ kind }) => ({
    apiVersion: API_VERSION,
    kind: `${kind}List`,
    metadata: { resourceVersion: String(context.store.resourceVersion()) },
    items: context.store.list(kind)
  }))
  return (request, h) => request.query.watch ? watch(context, request, h) : list.call(null as never, request, h)
}

async function watch (context: ApiContext, request: Request, h: ResponseToolkit): Promise<Lifecycle.ReturnValue> {
  const { store, faults, bookmarkMs } = context
  faults.counters.reads += 1
  faults.counters.watchesOpened += 1
  if (!await applyFaults(context)) return closeConnection(request, h)
  const seconds = Math.min(Number(request.query.timeoutSeconds ?? MAX_WATCH_SECONDS), MAX_WATCH_SECONDS)
  try {
    const { stream, end } = openWatch(store, {
      kind: callOf(request).kind,
      resourceVersion: Number(request.query.resourceVersion ?? 0),
      timeoutMs: seconds * 1000,
      bookmarkMs,
      isSilent: () => faults.mode() === 'hang'
    })
    const unregister = faults.registerOpenCall('watch', end)
    const cleanUp = () => {
      unregister()
      end()
    }
    request.raw.res.once('close', cleanUp)
    return h.response(stream).type('application/json')
  } catch (error) {
    return statusResponse(error, h)
  }
}

function writeHandler (context: ApiContext, status: number, perform: (call: Call, body: WireObject) => WireObject): Lifecycle.Method {
  const { faults } = context
  return async (request, h) => {
    faults.counters.writes += 1
    const call = callOf(request)
    const run = () => runWrite(h, status, () => perform(call, request.payload as WireObject))
    if (!await applyFaults(context)) return closeConnection(request, h)
    if (faults.consumeHold(call)) return hold(faults, request, h, run)
    const shouldDrop = faults.consumeDrop(call)
    const result = run()
    return shouldDrop ? closeConnection(request, h) : result.response
  }
}

interface WriteResult { code: number, response: Lifecycle.ReturnValue }

function runWrite (h: ResponseToolkit, status: number, perform: () => WireObject): WriteResult {
  try {
    return { code: status, response: h.response(perform()).code(status) }
  } catch (error) {
    return { code: error instanceof StatusError ? error.code : 500, response: statusResponse(error, h) }
  }
}

/** Holds a write until it is released. It is performed on release even if its client has disconnected. */
function hold (faults: Faults, request: Request, h: ResponseToolkit, run: () => WriteResult): Promise<Lifecycle.ReturnValue> {
  return new Promise(resolve => {
    let result: WriteResult | undefined
    const perform = () => {
      result = run()
      return result.code
    }
    faults.hold(perform, () => resolve(request.raw.req.socket.destroyed ? h.abandon : result!.response))
  })
}
