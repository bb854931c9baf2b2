/**
 * Signed session tokens. A token names model, session and version; its signature also covers the team, so that a
 * token of another team is rejected. The VMs keep no state for it. One header holds a token per model, because a
 * session that names an alias may use several models.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import type { ModelId, TeamId, VersionId } from '../ids/index.ts'

export interface TokenClaims {
  model: ModelId
  session: string
  version: VersionId
}

interface Payload { m: string, s: string, v: string }

const SEPARATOR = '~'
/** Tokens read from one header; the header is bounded by the settings as well. */
const MAX_TOKENS = 8

/** Signs the claims for a team with the given key and joins the tokens to one header value. */
export function signTokens (claims: readonly TokenClaims[], team: TeamId, key: string): string {
  return claims.slice(0, MAX_TOKENS).map(claim => signToken(claim, team, key)).join(SEPARATOR)
}

function signToken ({ model, session, version }: TokenClaims, team: TeamId, key: string): string {
  const content: Payload = { m: model, s: session, v: version }
  const payload = Buffer.from(JSON.stringify(content)).toString('base64url')
  return `${payload}.${signature(team, payload, key).toString('base64url')}`
}

export interface VerifiedTokens {
  claims: TokenClaims[]
  /** Tokens that no key signed for this team. */
  rejected: number
}

/** Returns the claims that one of the keys signed for this team. */
export function verifyTokens (header: string, team: TeamId, keys: readonly string[]): VerifiedTokens {
  const tokens = header.split(SEPARATOR, MAX_TOKENS)
  const claims = tokens.flatMap(token => verifyToken(token, team, keys) ?? [])
  return { claims, rejected: tokens.length - claims.length }
}

function verifyToken (token: string, team: TeamId, keys: readonly string[]): TokenClaims | undefined {
  const [payload, signed, ...rest] = token.split('.')
  if (!payload || !signed || rest.length > 0) return undefined
  const given = Buffer.from(signed, 'base64url')
  if (!keys.some(key => isEqual(given, signature(team, payload, key)))) return undefined
  const { m, s, v } = JSON.parse(Buffer.from(payload, 'base64url').toString()) as Payload
  return { model: m as ModelId, session: s, version: v as VersionId }
}

function signature (team: TeamId, payload: string, key: string): Buffer {
  return createHmac('sha256', key).update(JSON.stringify([team, payload])).digest()
}

function isEqual (a: Buffer, b: Buffer): boolean {
  return a.length === b.length && timingSafeEqual(a, b)
}
