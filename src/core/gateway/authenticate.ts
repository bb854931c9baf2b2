/** Finds the contract of a caller by the SHA-256 of its bearer key. */
import { createHash } from 'node:crypto'
import type { Clock } from '../clock/index.ts'
import type { ConfigView, Contract } from '../config/types.ts'
import { GatewayError } from '../errors/index.ts'

interface KnownKey {
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
    const known = key === undefined ? undefined : keys.get(hash(key))
    if (!known) throw new GatewayError('unauthenticated')
    if (known.expiresAtWallMs !== undefined && known.expiresAtWallMs <= clock.wallMs()) throw new GatewayError('key_expired')
    return known.contract
  }
}

function indexKeys (view: ConfigView): Map<string, KnownKey> {
  const keys = new Map<string, KnownKey>()
  for (const { spec: contract } of view.list('Contract')) {
    for (const { sha256, expiresAtWallMs } of contract.keys) keys.set(sha256, { contract, expiresAtWallMs })
  }
  return keys
}

function hash (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}
