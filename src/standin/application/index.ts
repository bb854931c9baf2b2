/**
 * Application runner stand-in: a plain HTTP service like an ordering desk or a dispatch platform. Bookings must not be
 * repeated, so it counts how often it ran each idempotency key.
 */
import { randomBytes } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import { listen, readJson, readText, sendJson } from '../http.ts'

export interface ApplicationOptions {
  host?: string
  /** 0 chooses a free port. */
  port?: number
  /** Time one call takes, milliseconds. */
  workMs?: number
}

/** Counts are used up one by one. */
export interface ApplicationFaults {
  /** Drops the connection before the call takes effect. */
  crashBefore: number
  /** Drops the connection after the call took effect. */
  crashAfter: number
  /** The call takes effect and its answer never comes. */
  loseAnswer: number
  /** Added to each call, milliseconds. */
  slowMs: number
  /** Stops answering until it is cleared. */
  frozen: boolean
}

export interface ApplicationState {
  instance: string
  faults: ApplicationFaults
  /** How often each idempotency key took effect. */
  runs: Map<string, number>
  received: number
  reads: number
}

export interface ApplicationStandIn {
  address: string
  state: ApplicationState
  close(): Promise<void>
  kill(): Promise<void>
}

const BOOKINGS = new Set(['/dispatches', '/rake-starts'])
const READS = new Set(['/stock', '/status'])

/** Starts an application runner on a TCP port. */
export async function startApplication ({ host = '127.0.0.1', port = 0, workMs = 0 }: ApplicationOptions = {}): Promise<ApplicationStandIn> {
  const state: ApplicationState = {
    instance: newInstance(),
    faults: { crashBefore: 0, crashAfter: 0, loseAnswer: 0, slowMs: 0, frozen: false },
    runs: new Map(),
    received: 0,
    reads: 0
  }

  function crash (): void {
    state.instance = newInstance()
    http.dropConnections()
  }

  function takeFault (fault: 'crashBefore' | 'crashAfter' | 'loseAnswer'): boolean {
    if (state.faults[fault] <= 0) return false
    state.faults[fault]--
    return true
  }

  async function book (request: IncomingMessage, response: ServerResponse, path: string): Promise<void> {
    const body = await readText(request)
    const key = String(request.headers['idempotency-key'] ?? '')
    if (takeFault('crashBefore')) return crash()
    await delay(workMs + state.faults.slowMs)
    const runs = (state.runs.get(key) ?? 0) + 1
    state.runs.set(key, runs)
    if (takeFault('crashAfter')) return crash()
    if (takeFault('loseAnswer')) return
    sendJson(response, 201, { path, key, run: runs, echo: body })
  }

  async function read (response: ServerResponse, path: string): Promise<void> {
    if (takeFault('crashBefore')) return crash()
    await delay(workMs + state.faults.slowMs)
    state.reads++
    sendJson(response, 200, { path, reads: state.reads })
  }

  async function route (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? '').split('?')[0]!
    response.setHeader('x-engine-instance', state.instance)
    if (path.startsWith('/control/')) return handleControl(request, response, path, state)
    if (state.faults.frozen) return
    if (path === '/health') return sendJson(response, 200, { instance: state.instance, state: 'warm', inFlight: 0 })
    state.received++
    if (request.method === 'POST' && BOOKINGS.has(path)) return book(request, response, path)
    if (request.method === 'GET' && READS.has(path)) return read(response, path)
    sendJson(response, 404, { error: { message: 'not found' } })
  }

  const http = await listen(route, { host, port })
  return { address: http.address, state, close: http.close, kill: http.kill }
}

async function handleControl (request: IncomingMessage, response: ServerResponse, path: string, state: ApplicationState): Promise<void> {
  if (path === '/control/faults') Object.assign(state.faults, await readJson<Partial<ApplicationFaults>>(request))
  const { instance, runs, received, reads } = state
  sendJson(response, 200, { instance, received, reads, runs: Object.fromEntries(runs) })
}

function newInstance (): string {
  return `application-${randomBytes(4).toString('hex')}`
}
