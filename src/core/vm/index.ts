/** A VM of the fleet: starts its parts in order, and stops without cutting a request. */
import 'reflect-metadata'
import type { DependencyContainer } from 'tsyringe'
import type { Clock } from '../clock/index.ts'
import { registerEntryPointRoutes } from '../entry-points/index.ts'
import { createGateway, type Gateway } from '../gateway/index.ts'
import { createOperatorAuthenticator, registerOperatorRoutes } from '../operator/index.ts'
import { chooseDataCentres } from '../routing/data-centre.ts'
import type { Settings, VmIdentity } from '../settings/index.ts'
import { createParts } from './parts.ts'
import { readStatus } from './status.ts'
import { TOKENS } from './tokens.ts'

export { TOKENS } from './tokens.ts'

interface BackgroundPart { start(): void, stop(): void }

/** Parts that only observe and control; they stop when the VM begins to leave. */
const BACKGROUND_PARTS = [TOKENS.outcomes, TOKENS.rollouts, TOKENS.rating]
const MINIMUM_DRAIN_MS = 1000
const SERVER_STOP_TIMEOUT_MS = 5000

export interface RunningVm {
  identity: VmIdentity
  callerUrl: string
  parts: DependencyContainer
  /** Resolves when the configuration is loaded and the VM takes work. */
  whenReady: Promise<void>
  /** Takes no new work, lets running requests end, hands over what it holds, and stops. */
  shutDown(): Promise<void>
  /** Replaces the keys of links and session tokens by those of newly read settings. */
  reloadKeys(settings: Settings): void
}

/** Starts a VM; it serves entry points and the operators' API at once and takes work when it is ready. */
export async function startVm (settings: Settings): Promise<RunningVm> {
  const parts = createParts(settings)
  const gateway = registerRoutes(parts, settings)
  const identity = parts.resolve(TOKENS.identity)
  await parts.resolve(TOKENS.peers).listen()
  parts.resolve(TOKENS.permits).start()
  parts.resolve(TOKENS.leaders).start()
  await parts.resolve(TOKENS.server).start()
  await parts.resolve(TOKENS.membership).start()
  return {
    identity,
    callerUrl: `http://${settings.vm.caller_address}`,
    parts,
    whenReady: becomeReady(parts),
    shutDown: () => shutDown(parts, gateway, settings),
    reloadKeys: fresh => reloadKeys(parts, settings, fresh)
  }
}

function registerRoutes (parts: DependencyContainer, settings: Settings): Gateway {
  const view = parts.resolve(TOKENS.view)
  const clock = parts.resolve(TOKENS.clock)
  const metrics = parts.resolve(TOKENS.metrics)
  const log = parts.resolve(TOKENS.log)
  const identity = parts.resolve(TOKENS.identity)
  const lifecycle = parts.resolve(TOKENS.lifecycle)
  const membership = parts.resolve(TOKENS.membership)
  const permits = parts.resolve(TOKENS.permits)
  const entryPoints = parts.resolve(TOKENS.entryPoints)
  const explain = parts.resolve(TOKENS.explain)
  const server = parts.resolve(TOKENS.server)
  const own = { region: identity.region, dataCentre: identity.dataCentre }

  registerEntryPointRoutes(server, entryPoints)
  registerOperatorRoutes(server, {
    config: parts.resolve(TOKENS.config),
    view,
    authenticate: createOperatorAuthenticator({ view, clock }),
    status: () => readStatus({ identity, lifecycle, membership, view, summaries: permits.summaries }),
    dataCentreOfVm: vm => membership.get(vm)?.dataCentre,
    explain,
    clock,
    metrics,
    log
  })
  return createGateway({
    server,
    identity,
    view,
    routing: parts.resolve(TOKENS.routing),
    chooseDataCentres: request => chooseDataCentres({ request, summaries: permits.summaries(), view, own, random: Math.random }),
    permits,
    claims: parts.resolve(TOKENS.claims),
    billing: parts.resolve(TOKENS.billing),
    budget: parts.resolve(TOKENS.budget),
    quarantine: parts.resolve(TOKENS.quarantine),
    engine: parts.resolve(TOKENS.engine),
    services: parts.resolve(TOKENS.services),
    explain,
    entryPoints: () => entryPoints.list({ dataCentre: identity.dataCentre }).entry_points.map(({ url }) => url),
    peers: parts.resolve(TOKENS.peers),
    membership,
    isTakingWork: lifecycle.isTakingWork,
    onAnswer ({ request, outcome, explores, prompt, text }) {
      parts.resolve(TOKENS.rating).offer({ request, outcome, explores, prompt, answer: text })
    },
    limits: settings.limits,
    clock,
    metrics,
    log
  })
}

async function becomeReady (parts: DependencyContainer): Promise<void> {
  await parts.resolve(TOKENS.config).start()
  await parts.resolve(TOKENS.quarantine).start()
  parts.resolve(TOKENS.lease).start()
  parts.resolve(TOKENS.billing).start()
  for (const token of BACKGROUND_PARTS) parts.resolve<BackgroundPart>(token).start()
  parts.resolve(TOKENS.lifecycle).enter('serving')
}

async function shutDown (parts: DependencyContainer, gateway: Gateway, settings: Settings): Promise<void> {
  const clock = parts.resolve(TOKENS.clock)
  const log = parts.resolve(TOKENS.log)
  const deadline = clock.now() + settings.shutdown.drain_timeout_ms
  parts.resolve(TOKENS.lifecycle).enter('leaving')
  await parts.resolve(TOKENS.membership).leave()
  // Another VM takes the leases over while this one still answers callers that hold its address.
  await parts.resolve(TOKENS.lease).release()
  parts.resolve(TOKENS.leaders).stop()
  for (const token of BACKGROUND_PARTS) parts.resolve<BackgroundPart>(token).stop()
  await clock.sleep(settings.shutdown.announce_ms)
  if (!await endsBefore(gateway.drain(), deadline, clock)) log.warn('drain timeout passed with requests running', { running: gateway.running() })
  await handOver(parts, log, deadline - clock.now())
  await closeLinks(parts)
  parts.resolve(TOKENS.lifecycle).enter('stopped')
}

/** Whether the work ends before the deadline; the timer does not outlive the work and so cannot delay the exit. */
async function endsBefore (work: Promise<void>, deadline: number, clock: Clock): Promise<boolean> {
  return await new Promise((resolve, reject) => {
    const cancel = clock.after(deadline - clock.now(), () => resolve(false))
    work.then(() => resolve(true), reject).finally(cancel)
  })
}

/** Makes durable or returns what this VM still holds. */
async function handOver (parts: DependencyContainer, log: { warn: (message: string, fields: object) => void }, timeoutMs: number): Promise<void> {
  await parts.resolve(TOKENS.claims).stop()
  await parts.resolve(TOKENS.sessions).stop()
  await parts.resolve(TOKENS.budget).returnChunks()
  const left = await parts.resolve(TOKENS.billing).drain(Math.max(MINIMUM_DRAIN_MS, timeoutMs))
  if (left > 0) log.warn('billing records are left to the witness', { left })
}

async function closeLinks (parts: DependencyContainer): Promise<void> {
  parts.resolve(TOKENS.permits).stop()
  parts.resolve(TOKENS.quarantine).stop()
  parts.resolve(TOKENS.config).stop()
  await parts.resolve(TOKENS.server).stop({ timeout: SERVER_STOP_TIMEOUT_MS })
  await parts.resolve(TOKENS.membership).stop()
  await parts.resolve(TOKENS.peers).close()
}

function reloadKeys (parts: DependencyContainer, settings: Settings, fresh: Settings): void {
  parts.resolve(TOKENS.peers).setSharedKeys(fresh.peer.shared_keys)
  settings.sessions.token_keys = fresh.sessions.token_keys
  parts.resolve(TOKENS.log).info('keys reloaded')
}
