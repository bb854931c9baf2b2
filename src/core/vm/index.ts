/** Runs a VM: starts its components in order, and on shutdown lets running requests finish within the drain timeout. */
import { errorMessage } from '../errors/index.ts'
import 'reflect-metadata'
import type { DependencyContainer } from 'tsyringe'
import type { Clock } from '../clock/index.ts'
import { registerEntryPointRoutes } from '../entry-points/index.ts'
import { createGateway, type Gateway } from '../gateway/index.ts'
import { createOperatorAuthenticator, registerOperatorRoutes } from '../operator/index.ts'
import { chooseDataCentres } from '../routing/data-centre.ts'
import type { Settings, VmIdentity } from '../settings/index.ts'
import { createComponents } from './components.ts'
import { readStatus } from './status.ts'
import { TOKENS } from './tokens.ts'

export { TOKENS } from './tokens.ts'

interface BackgroundComponent { start(): void, stop(): void }

/** Components that only observe outcomes and control roll-outs; they stop before running requests are drained. */
const BACKGROUND_COMPONENTS = [TOKENS.outcomes, TOKENS.rollouts, TOKENS.rating]
/** Minimum time for flushing billing records, also when running requests have used up the drain timeout. */
const MIN_BILLING_DRAIN_MS = 1000
const SERVER_STOP_TIMEOUT_MS = 5000

export interface RunningVm {
  identity: VmIdentity
  callerUrl: string
  components: DependencyContainer
  /** Resolves when the configuration is loaded and the VM accepts requests. */
  whenReady: Promise<void>
  /**
   * Stops accepting requests, releases the leases of the VM, waits for running requests until the drain timeout, flushes
   * the state that the VM holds, and stops.
   */
  shutDown(): Promise<void>
  /**
   * Replaces the shared keys of the peer links and the session token keys with those of the settings that `read` returns.
   * Logs an error and keeps the keys if it throws.
   */
  reloadKeys(read: () => Settings): void
}

/** Starts a VM. It serves the entry points and the operator API immediately and accepts requests once it is ready. */
export async function startVm (settings: Settings): Promise<RunningVm> {
  const components = createComponents(settings)
  const gateway = registerRoutes(components, settings)
  const identity = components.resolve(TOKENS.identity)
  await components.resolve(TOKENS.peers).listen()
  components.resolve(TOKENS.permits).start()
  components.resolve(TOKENS.leaderSchedulers).start()
  await components.resolve(TOKENS.server).start()
  await components.resolve(TOKENS.membership).start()
  return {
    identity,
    callerUrl: `http://${settings.vm.caller_address}`,
    components,
    whenReady: startServing(components),
    shutDown: () => shutDown(components, gateway, settings),
    reloadKeys: read => reloadKeys(components, settings, read)
  }
}

function registerRoutes (components: DependencyContainer, settings: Settings): Gateway {
  const view = components.resolve(TOKENS.view)
  const clock = components.resolve(TOKENS.clock)
  const metrics = components.resolve(TOKENS.metrics)
  const log = components.resolve(TOKENS.log)
  const identity = components.resolve(TOKENS.identity)
  const lifecycle = components.resolve(TOKENS.lifecycle)
  const membership = components.resolve(TOKENS.membership)
  const permits = components.resolve(TOKENS.permits)
  const entryPoints = components.resolve(TOKENS.entryPoints)
  const explain = components.resolve(TOKENS.explain)
  const server = components.resolve(TOKENS.server)
  const ownLocation = { region: identity.region, dataCentre: identity.dataCentre }

  registerEntryPointRoutes(server, entryPoints)
  registerOperatorRoutes(server, {
    config: components.resolve(TOKENS.config),
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
    routing: components.resolve(TOKENS.routing),
    chooseDataCentres: request => chooseDataCentres({ request, summaries: permits.summaries(), view, own: ownLocation, random: Math.random }),
    permits,
    claims: components.resolve(TOKENS.claims),
    billing: components.resolve(TOKENS.billing),
    budget: components.resolve(TOKENS.budget),
    quarantine: components.resolve(TOKENS.quarantine),
    engine: components.resolve(TOKENS.engine),
    services: components.resolve(TOKENS.services),
    explain,
    entryPoints: () => entryPoints.list({ dataCentre: identity.dataCentre }).entry_points.map(({ url }) => url),
    peers: components.resolve(TOKENS.peers),
    membership,
    isAcceptingRequests: lifecycle.isAcceptingRequests,
    onAnswer ({ request, outcome, explores, prompt, text }) {
      components.resolve(TOKENS.rating).offer({ request, outcome, explores, prompt, answer: text })
    },
    limits: settings.limits,
    clock,
    metrics,
    log
  })
}

async function startServing (components: DependencyContainer): Promise<void> {
  await components.resolve(TOKENS.config).start()
  await components.resolve(TOKENS.quarantine).start()
  components.resolve(TOKENS.lease).start()
  components.resolve(TOKENS.billing).start()
  for (const token of BACKGROUND_COMPONENTS) components.resolve<BackgroundComponent>(token).start()
  components.resolve(TOKENS.lifecycle).enter('serving')
}

async function shutDown (components: DependencyContainer, gateway: Gateway, settings: Settings): Promise<void> {
  const clock = components.resolve(TOKENS.clock)
  const log = components.resolve(TOKENS.log)
  const deadlineMs = clock.now() + settings.shutdown.drain_timeout_ms
  components.resolve(TOKENS.lifecycle).enter('leaving')
  await components.resolve(TOKENS.membership).leave()
  // Released now, so that other VMs acquire the leases while this VM still responds to callers that use its address.
  await components.resolve(TOKENS.lease).release()
  components.resolve(TOKENS.leaderSchedulers).stop()
  for (const token of BACKGROUND_COMPONENTS) components.resolve<BackgroundComponent>(token).stop()
  await clock.sleep(settings.shutdown.announce_ms)
  if (!await completesBefore(gateway.drain(), deadlineMs, clock)) log.warn('drain timeout passed with requests running', { running: gateway.running() })
  await flushState(components, log, deadlineMs - clock.now())
  await closeConnections(components)
  components.resolve(TOKENS.lifecycle).enter('stopped')
}

/**
 * Returns whether the work completes before the deadline. The timer is cancelled when the work completes, because a
 * pending timer would delay the exit of the process.
 */
async function completesBefore (work: Promise<void>, deadlineMs: number, clock: Clock): Promise<boolean> {
  return await new Promise((resolve, reject) => {
    const cancel = clock.after(deadlineMs - clock.now(), () => resolve(false))
    work.then(() => resolve(true), reject).finally(cancel)
  })
}

/** Settles claims, writes session data, returns reserved budget and flushes billing records. */
async function flushState (components: DependencyContainer, log: { warn: (message: string, fields: object) => void }, timeoutMs: number): Promise<void> {
  await components.resolve(TOKENS.claims).stop()
  await components.resolve(TOKENS.sessions).stop()
  await components.resolve(TOKENS.budget).returnChunks()
  const unflushed = await components.resolve(TOKENS.billing).drain(Math.max(MIN_BILLING_DRAIN_MS, timeoutMs))
  if (unflushed > 0) log.warn('billing records were not flushed in time; their witness VMs must flush them', { left: unflushed })
}

async function closeConnections (components: DependencyContainer): Promise<void> {
  components.resolve(TOKENS.permits).stop()
  components.resolve(TOKENS.quarantine).stop()
  components.resolve(TOKENS.config).stop()
  await components.resolve(TOKENS.server).stop({ timeout: SERVER_STOP_TIMEOUT_MS })
  await components.resolve(TOKENS.membership).stop()
  await components.resolve(TOKENS.peers).close()
}

function reloadKeys (components: DependencyContainer, settings: Settings, read: () => Settings): void {
  const log = components.resolve(TOKENS.log)
  try {
    const newSettings = read()
    components.resolve(TOKENS.peers).setSharedKeys(newSettings.peer.shared_keys)
    settings.sessions.token_keys = newSettings.sessions.token_keys
    log.info('keys reloaded')
  } catch (error) {
    log.error('the settings cannot be read; the previous keys stay in force', { error: errorMessage(error) })
  }
}
