/**
 * Administrative commands of the engine stand-in. With `checksFencing`, a command whose epoch is lower than the highest
 * one received so far is refused with status 409. `cancel`, `resume` and `priority` are exempt.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { readJson, sendJson } from '../http.ts'
import type { PrefixCache } from './cache.ts'
import type { Completions } from './completions.ts'
import type { ResolvedEngineOptions } from './index.ts'
import type { EngineState } from './types.ts'

export interface AdminContext {
  options: ResolvedEngineOptions
  state: EngineState
  cache: PrefixCache
  completions: Completions
  highestEpoch: number
}

interface AdminCommand {
  epoch?: number
  version?: string
  adapter?: string
  role?: string
  request?: string
  blob?: string
  priority?: number
}

type CommandHandler = (context: AdminContext, command: AdminCommand) => object

const COMMAND_HANDLERS: Record<string, CommandHandler> = {
  load ({ state }, { version }) {
    state.versions.add(version!)
    return {}
  },
  unload ({ state }, { version }) {
    state.versions.delete(version!)
    return {}
  },
  adapters ({ state }, { version, adapter }) {
    state.adapters.add(`${version}/${adapter}`)
    return {}
  },
  role ({ state }, { role }) {
    state.role = role!
    return {}
  },
  'kv-export': (_, { request }) => ({ blob: Buffer.from(`kv:${request}`).toString('base64') }),
  'kv-import': (_, { request, blob }) => ({ imported: Buffer.from(blob!, 'base64').toString() === `kv:${request}` }),
  cancel: ({ completions }, { request }) => ({ cancelled: completions.cancel(request!) }),
  resume: () => ({}),
  priority: ({ completions }, { request, priority }) => ({ changed: completions.setPriority(request!, priority!) })
}

/** Commands that affect a single answer. Only the sender of its request issues them, so they need no fencing. */
const UNFENCED_COMMANDS = new Set(['cancel', 'resume', 'priority'])

export async function handleAdmin (request: IncomingMessage, response: ServerResponse, context: AdminContext): Promise<void> {
  const url = new URL(request.url!, 'http://engine')
  const name = url.pathname.slice('/admin/'.length)
  if (name === 'cache-events') {
    const events = context.cache.events(Number(url.searchParams.get('after') ?? 0))
    return sendJson(response, 200, { instance: context.state.instance, events })
  }
  const handler = COMMAND_HANDLERS[name]
  if (!handler) return sendJson(response, 404, { error: { message: `unknown command ${name}` } })
  const command = await readJson<AdminCommand>(request)
  if (isStaleCommand(context, name, command.epoch ?? 0)) return sendJson(response, 409, { error: { message: 'the epoch is lower than the highest one received' } })
  sendJson(response, 200, handler(context, command))
}

function isStaleCommand (context: AdminContext, name: string, epoch: number): boolean {
  if (!context.options.checksFencing || UNFENCED_COMMANDS.has(name)) return false
  if (epoch < context.highestEpoch) {
    context.state.stats.refusedOrders++
    return true
  }
  context.highestEpoch = epoch
  return false
}
