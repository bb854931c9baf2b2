/**
 * Signed session tokens. A token contains model, session and version; its signature also covers the team, so that a
 * token of another team is rejected. The VMs store no state for it. One header holds a token per model, because a
 * session that uses an alias may use several models.
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
/** Maximum number of tokens per header; the settings also limit the size of headers. */
const MAX_TOKENS = 8

/** Signs the claims for a team with the given key and joins the tokens into one header value. */
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
  /** Number of tokens without a valid signature for this team. */
  rejected: number
}

/** Returns the claims of the tokens whose signature for this team is valid under one of the keys. */
export function verifyTokens (header: string, team: TeamId, keys: readonly string[]): VerifiedTokens {
  const tokens = header.split(SEPARATOR, MAX_TOKENS)
  const claims = tokens.flatMap(token => verifyToken(token, team, keys) ?? [])
  return { claims, rejected: tokens.length - claims.length }
}

function verifyToken (token: string, team: TeamId, keys: readonly string[]): TokenClaims | undefined {
  const [payload, encodedSignature, ...rest] = token.split('.')
  if (!payload || !encodedSignature || rest.length > 0) return undefined
  const receivedSignature = Buffer.from(encodedSignature, 'base64url')
  if (!keys.some(key => isEqual(receivedSignature, signature(team, payload, key)))) return undefined
  const { m, s, v } = JSON.parse(Buffer.from(payload, 'base64url').toString()) as Payload
  return { model: m as ModelId, session: s, version: v as VersionId }
}

function signature (team: TeamId, payload: string, key: string): Buffer {
  return createHmac('sha256', key).update(JSON.stringify([team, payload])).digest()
}

function isEqual (a: Buffer, b: Buffer): boolean {
  return a.length === b.length && timingSafeEqual(a, b)
}
