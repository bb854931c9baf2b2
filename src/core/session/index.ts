/**
 * A session keeps its version. Callers that return the signed token need no state. For callers that send only a
 * session id, the choice is pinned in the object API by conditional create once the model has several versions.
 * A version that is withdrawn or no longer permitted is left for another one.
 */
import { randomBytes } from 'node:crypto'
import type { Clock } from '../clock/index.ts'
import type { ConfigView } from '../config/types.ts'
import { LacewingError, RoutingError } from '../errors/index.ts'
import type { VersionId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ObjectApi } from '../object-api/types.ts'
import { createActiveVersions } from './active-versions.ts'
import { chooseByHash, sessionKey, type Candidate } from './choice.ts'
import { MAX_CACHED_PINS, MAX_REMEMBERED_SESSIONS, OUTAGE_RETRY_MS, SETTLE_MS } from './constants.ts'
import { createPins } from './pins.ts'
import { createRoster } from './roster.ts'
import { signTokens, verifyTokens, type TokenClaims } from './token.ts'
import type { SessionRequest, Sessions, SessionVersion } from './types.ts'

export type * from './types.ts'

export interface SessionsOptions {
  objectApi: ObjectApi
  view: ConfigView
  /** The first key signs, all verify. */
  tokenKeys: () => string[]
  maxCachedPins?: number
  maxRememberedSessions?: number
  settleMs?: number
  random?: () => number
  clock: Clock
  metrics: Metrics
  log: Log
}

type Choice = Omit<SessionVersion, 'token'>

export function createSessions (options: SessionsOptions): Sessions {
  const { objectApi, view, tokenKeys, clock, metrics, log } = options
  const { maxCachedPins = MAX_CACHED_PINS, maxRememberedSessions = MAX_REMEMBERED_SESSIONS } = options
  const { settleMs = SETTLE_MS, random = Math.random } = options
  let outageUntilMs = -Infinity
  const pins = createPins({ objectApi, maxCached: maxCachedPins, clock, metrics })
  const active = createActiveVersions({ view, clock, onSecond: model => roster.publish(model) })
  const roster = createRoster({
    objectApi, maxRemembered: maxRememberedSessions, isActive: active.isActive, random, clock, metrics, log
  })

  async function resolve (request: SessionRequest): Promise<SessionVersion> {
    if (request.candidates.length === 0) throw new RoutingError('no_permitted_version')
    const claims = readClaims(request)
    const session = request.session ?? claims[0]?.session
    if (session === undefined) return withoutSession(request)
    const ofSession = claims.filter(claim => claim.session === session)
    const own = ofSession.find(claim => claim.model === request.model)
    const choice = await choose(request, session, own?.version)
    const others = ofSession.filter(claim => claim.model !== request.model)
    return { ...choice, token: tokenFor(request, session, choice.version, others) }
  }

  function readClaims ({ token, team }: SessionRequest): TokenClaims[] {
    if (!token) return []
    const { claims, rejected } = verifyTokens(token, team, tokenKeys())
    if (rejected > 0) metrics.count('bad_input', 'session_token', rejected)
    return claims
  }

  function tokenFor ({ team, model }: SessionRequest, session: string, version: VersionId, others: TokenClaims[] = []): string | undefined {
    const [key] = tokenKeys()
    return key === undefined ? undefined : signTokens([{ model, session, version }, ...others], team, key)
  }

  /** A caller without a session gets a token, which it may return to keep the version. */
  function withoutSession (request: SessionRequest): SessionVersion {
    const version = chooseByHash(String(random()), request.candidates)!
    const session = randomBytes(12).toString('base64url')
    return { version, token: tokenFor(request, session, version), source: 'none' }
  }

  async function choose (request: SessionRequest, session: string, fromToken?: VersionId): Promise<Choice> {
    if (fromToken && isCandidate(request, fromToken)) return { version: fromToken, source: 'token' }
    const key = sessionKey(request.team, request.model, session)
    const hasOne = request.candidates.length === 1 && active.count(request.model) <= 1
    if (hasOne && !fromToken && !await hasPin(request, key)) return chooseOnly(request, key)
    const choice = await choosePinned(request, session, key)
    if (fromToken) return { ...choice, movedFrom: fromToken }
    return choice
  }

  /** A session without a pin is remembered in case a second version appears. */
  function chooseOnly ({ model, candidates }: SessionRequest, key: string): Choice {
    const { version } = candidates[0]!
    roster.remember(model, key, version)
    return { version, source: 'new' }
  }

  /** Whether a session of a model with one version may have begun while there were several. */
  async function hasPin ({ model }: SessionRequest, key: string): Promise<boolean> {
    if (pins.findCached(key)) return true
    if (!active.hadSeveral(model) || roster.findLocal(key) || clock.now() < outageUntilMs) return false
    return await pins.find(key).catch(() => undefined) !== undefined
  }

  async function choosePinned (request: SessionRequest, session: string, key: string): Promise<Choice> {
    if (clock.now() < outageUntilMs) return chooseInOutage(request, session, key)
    try {
      return await pinned(request, session, key)
    } catch (error) {
      if (!(error instanceof LacewingError)) throw error
      // Further requests do not wait for the object API's timeout.
      outageUntilMs = clock.now() + OUTAGE_RETRY_MS
      return chooseInOutage(request, session, key)
    }
  }

  function chooseInOutage (request: SessionRequest, session: string, key: string): Choice {
    metrics.count('session_pins', 'outage')
    const cached = pins.findCached(key)
    if (cached && isCandidate(request, cached)) return { version: cached, source: 'pin' }
    const version = started(request, roster.findLocal(key)) ?? byHash(request, key)
    pins.writeLater(key, { team: request.team, model: request.model, session, version })
    return { version, source: 'hash', ...cached && { movedFrom: cached } }
  }

  /** Throws when the object API cannot be read or written. */
  async function pinned (request: SessionRequest, session: string, key: string): Promise<Choice> {
    const { team, model } = request
    const known = await pins.find(key)
    if (known && isCandidate(request, known)) return { version: known, source: 'pin' }
    const wanted = started(request, await roster.find(model, key)) ?? byHash(request, key)
    const spec = { team, model, session, version: wanted }
    const version = known ? await pins.move(key, spec, known) : await pins.create(key, spec)
    // Another VM may have pinned a version that this VM does not know as permitted yet, or no longer.
    const usable = isCandidate(request, version) ? version : wanted
    return { version: usable, source: usable === wanted ? 'new' : 'pin', ...known && { movedFrom: known } }
  }

  const isCandidate = ({ candidates }: SessionRequest, version: VersionId) => candidates.some(candidate => candidate.version === version)

  const started = (request: SessionRequest, version: VersionId | undefined) => version && isCandidate(request, version) ? version : undefined

  /** Leaves out versions that other VMs may not know yet, as long as another one remains. */
  function byHash ({ candidates }: SessionRequest, key: string): VersionId {
    const settled = candidates.filter((candidate: Candidate) => active.knownForMs(candidate.version) >= settleMs)
    return chooseByHash(key, settled.length > 0 ? settled : candidates)!
  }

  return {
    resolve,
    async stop () {
      active.stop()
      await pins.stop()
      await roster.stop()
    }
  }
}
