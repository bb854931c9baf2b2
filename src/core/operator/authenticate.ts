/**
 * Authenticates operators by the SHA-256 of their key. While no Operator object exists, callers on the loopback
 * interface may create the first one.
 */
import { createHash, timingSafeEqual } from 'node:crypto'
import type { Clock } from '../clock/index.ts'
import type { ConfigView } from '../config/types.ts'
import { OperatorError } from '../errors/index.ts'
import type { AuthenticateOperator } from './types.ts'

const LOOPBACK_PATTERN = /^(127\.|::1$|::ffff:127\.)/
const BEARER_PATTERN = /^Bearer +(\S+)$/i

export function createOperatorAuthenticator ({ view, clock }: { view: ConfigView, clock: Clock }): AuthenticateOperator {
  return ({ authorization, remoteAddress }) => {
    const operators = view.list('Operator')
    if (operators.length === 0 && LOOPBACK_PATTERN.test(remoteAddress)) return { name: 'bootstrap', bootstrap: true }
    const key = BEARER_PATTERN.exec(authorization ?? '')?.[1]
    if (key === undefined) throw new OperatorError('unauthenticated')
    const sha256 = createHash('sha256').update(key).digest()
    for (const { name, spec } of operators) {
      const matchingKey = spec.keys.find(candidate => timingSafeEqual(Buffer.from(candidate.sha256, 'hex'), sha256))
      if (!matchingKey) continue
      if (matchingKey.expiresAtWallMs !== undefined && matchingKey.expiresAtWallMs <= clock.wallMs()) throw new OperatorError('key_expired')
      return { name, bootstrap: false }
    }
    throw new OperatorError('unauthenticated')
  }
}
