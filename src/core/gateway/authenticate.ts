/** Authenticates callers: looks up the contract by the SHA-256 hash of the bearer key. */
import { createHash } from 'node:crypto'
import type { Clock } from '../clock/index.ts'
import type { ConfigView, Contract } from '../config/types.ts'
import { GatewayError } from '../errors/index.ts'

interface KeyEntry {
  contract: Contract
  expiresAtWallMs: number | undefined
}

/** Returns the contract that a key belongs to. Throws GatewayError `unauthenticated` or `key_expired`. */
export type Authenticate = (authorization: string | undefined) => Contract

const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/i

export function createAuthenticate ({ view, clock }: { view: ConfigView, clock: Clock }): Authenticate {
  let keys = indexKeys(view)
  view.onChange(records => {
    if (records.some(record => record.kind === 'Contract')) keys = indexKeys(view)
  })
  return authorization => {
    const key = BEARER.exec(authorization ?? '')?.[1]
    const entry = key === undefined ? undefined : keys.get(hash(key))
    if (!entry) throw new GatewayError('unauthenticated')
    if (entry.expiresAtWallMs !== undefined && entry.expiresAtWallMs <= clock.wallMs()) throw new GatewayError('key_expired')
    return entry.contract
  }
}

function indexKeys (view: ConfigView): Map<string, KeyEntry> {
  const keys = new Map<string, KeyEntry>()
  for (const { spec: contract } of view.list('Contract')) {
    for (const { sha256, expiresAtWallMs } of contract.keys) keys.set(sha256, { contract, expiresAtWallMs })
  }
  return keys
}

function hash (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}
