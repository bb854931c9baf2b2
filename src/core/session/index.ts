/**
 * Session affinity: a session keeps its version. For callers that return the signed token, no state is stored. For
 * callers that send only a session id, the choice is pinned in the object API by a conditional create once the model has
 * several versions. A session moves to another version when its version is withdrawn or no longer permitted.
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
  /** The first key signs; all keys verify. */
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
  /** Until this time sessions are resolved without the object API. */
  let outageUntilMs = -Infinity
  const pins = createPins({ objectApi, maxCached: maxCachedPins, clock, metrics })
  const active = createActiveVersions({ view, clock, onSecondVersion: model => roster.publish(model) })
  const roster = createRoster({
    objectApi, maxRemembered: maxRememberedSessions, isActive: active.isActive, random, clock, metrics, log
  })

  async function resolve (request: SessionRequest): Promise<SessionVersion> {
    if (request.candidates.length === 0) throw new RoutingError('no_permitted_version')
    const claims = readClaims(request)
    const session = request.session ?? claims[0]?.session
    if (session === undefined) return chooseWithoutSession(request)
    const sessionClaims = claims.filter(claim => claim.session === session)
    const modelClaim = sessionClaims.find(claim => claim.model === request.model)
    const choice = await choose(request, session, modelClaim?.version)
    const others = sessionClaims.filter(claim => claim.model !== request.model)
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

  /** Returns a token to a caller without a session; the caller keeps the version if it sends the token back. */
  function chooseWithoutSession (request: SessionRequest): SessionVersion {
    const version = chooseByHash(String(random()), request.candidates)!
    const session = randomBytes(12).toString('base64url')
    return { version, token: tokenFor(request, session, version), source: 'none' }
  }

  async function choose (request: SessionRequest, session: string, fromToken?: VersionId): Promise<Choice> {
    if (fromToken && isCandidate(request, fromToken)) return { version: fromToken, source: 'token' }
    const key = sessionKey(request.team, request.model, session)
    const hasSingleVersion = request.candidates.length === 1 && active.count(request.model) <= 1
    if (hasSingleVersion && !fromToken && !await hasPin(request, key)) return chooseSingleVersion(request, key)
    const choice = await choosePinned(request, session, key)
    if (fromToken) return { ...choice, movedFrom: fromToken }
    return choice
  }

  /** A session without a pin is remembered in case a second version appears. */
  function chooseSingleVersion ({ model, candidates }: SessionRequest, key: string): Choice {
    const { version } = candidates[0]!
    roster.remember(model, key, version)
    return { version, source: 'new' }
  }

  /** Whether a session of a model with one version has a pin from a time when the model had several. */
  async function hasPin ({ model }: SessionRequest, key: string): Promise<boolean> {
    if (pins.findCached(key)) return true
    if (!active.recentlyHadMultiple(model) || roster.findLocal(key) || clock.now() < outageUntilMs) return false
    return await pins.find(key).catch(() => undefined) !== undefined
  }

  async function choosePinned (request: SessionRequest, session: string, key: string): Promise<Choice> {
    if (clock.now() < outageUntilMs) return chooseInOutage(request, session, key)
    try {
      return await resolvePin(request, session, key)
    } catch (error) {
      if (!(error instanceof LacewingError)) throw error
      // Skip the object API for a while, so that further requests do not wait for its timeout.
      outageUntilMs = clock.now() + OUTAGE_RETRY_MS
      return chooseInOutage(request, session, key)
    }
  }

  function chooseInOutage (request: SessionRequest, session: string, key: string): Choice {
    metrics.count('session_pins', 'outage')
    const cached = pins.findCached(key)
    if (cached && isCandidate(request, cached)) return { version: cached, source: 'pin' }
    const version = ifCandidate(request, roster.findLocal(key)) ?? byHash(request, key)
    pins.writeLater(key, { team: request.team, model: request.model, session, version })
    return { version, source: 'hash', ...cached && { movedFrom: cached } }
  }

  /** Throws when the object API cannot be read or written. */
  async function resolvePin (request: SessionRequest, session: string, key: string): Promise<Choice> {
    const { team, model } = request
    const pinnedVersion = await pins.find(key)
    if (pinnedVersion && isCandidate(request, pinnedVersion)) return { version: pinnedVersion, source: 'pin' }
    const preferred = ifCandidate(request, await roster.find(model, key)) ?? byHash(request, key)
    const spec = { team, model, session, version: preferred }
    const version = pinnedVersion ? await pins.move(key, spec, pinnedVersion) : await pins.create(key, spec)
    // Another VM may have pinned a version that is not yet, or no longer, permitted in this VM's configuration.
    const chosen = isCandidate(request, version) ? version : preferred
    return { version: chosen, source: chosen === preferred ? 'new' : 'pin', ...pinnedVersion && { movedFrom: pinnedVersion } }
  }

  const isCandidate = ({ candidates }: SessionRequest, version: VersionId) => candidates.some(candidate => candidate.version === version)

  const ifCandidate = (request: SessionRequest, version: VersionId | undefined) => version && isCandidate(request, version) ? version : undefined

  /** Leaves out versions that other VMs may not have received yet, unless no other candidate remains. */
  function byHash ({ candidates }: SessionRequest, key: string): VersionId {
    const settled = candidates.filter((candidate: Candidate) => active.timeSinceFirstSeenMs(candidate.version) >= settleMs)
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
