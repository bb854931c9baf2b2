/**
 * Mutual authentication of a connection. Both sides send a nonce and prove knowledge of a shared key by an HMAC over
 * both identities, both nonces and, with TLS, the keying material of the TLS session. The connecting side sends its
 * proof first, computed with its first key; the accepting side replies with a proof computed with the same key.
 *
 *   connecting side                               accepting side
 *   hello {version, vm, boot, to, nonce}   ->
 *                                          <-     challenge {vm, boot, nonce}
 *   proof {mac}                            ->
 *                                          <-     proof {mac}
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import type { RawData, WebSocket } from 'ws'
import { z } from 'zod'
import type { BootId, VmId } from '../ids/index.ts'
import type { VmIdentity } from '../settings/index.ts'
import { NONCE_BYTES } from './constants.ts'

export interface AuthenticatedPeer {
  vm: VmId
  boot: BootId
  /** Shared key with which both sides authenticated. */
  key: string
}

export type HandshakeFailure = 'malformed' | 'wrong_key' | 'wrong_vm' | 'wrong_version'

export interface HandshakeContext {
  identity: VmIdentity
  keys(): readonly string[]
  /** Keying material of the TLS session; empty without TLS. */
  channelBinding: Buffer
  onAuthenticated(peer: AuthenticatedPeer): void
  onFailure(reason: HandshakeFailure): void
}

interface Party { vm: string, boot: string, nonce: string }

const PROTOCOL_VERSION = 1
const nameSchema = z.string().min(1).max(128)
const nonceSchema = z.string().regex(/^[0-9a-f]{64}$/)
const helloSchema = z.strictObject({ version: z.number().int(), vm: nameSchema, boot: nameSchema, to: nameSchema, nonce: nonceSchema })
const challengeSchema = z.strictObject({ vm: nameSchema, boot: nameSchema, nonce: nonceSchema })
const proofSchema = z.strictObject({ mac: z.string().regex(/^[0-9a-f]{64}$/) })

type HandshakeStep = (message: unknown) => HandshakeStep | 'done'

/** Runs the accepting side. Calls exactly one of the callbacks, or none if the connection closes first. */
export function acceptHandshake (socket: WebSocket, context: HandshakeContext): void {
  const self = createOwnParty(context)

  runSteps(socket, context, message => {
    const hello = helloSchema.parse(message)
    if (hello.version !== PROTOCOL_VERSION) throw new HandshakeError('wrong_version')
    if (hello.to !== self.vm) throw new HandshakeError('wrong_vm')
    send(socket, self)
    return proof => {
      const { mac } = proofSchema.parse(proof)
      const key = context.keys().find(candidate => macEquals(mac, computeMac(candidate, 'connecting', hello, self, context)))
      if (key === undefined) throw new HandshakeError('wrong_key')
      send(socket, { mac: computeMac(key, 'accepting', hello, self, context).toString('hex') })
      context.onAuthenticated({ vm: hello.vm as VmId, boot: hello.boot as BootId, key })
      return 'done'
    }
  })
}

/** Runs the connecting side of a handshake with VM `to`. */
export function startHandshake (socket: WebSocket, to: VmId, context: HandshakeContext): void {
  const self = createOwnParty(context)
  const key = context.keys()[0] ?? ''

  runSteps(socket, context, message => {
    const peer = challengeSchema.parse(message)
    if (peer.vm !== to) throw new HandshakeError('wrong_vm')
    send(socket, { mac: computeMac(key, 'connecting', self, peer, context).toString('hex') })
    return proof => {
      const { mac } = proofSchema.parse(proof)
      if (!macEquals(mac, computeMac(key, 'accepting', self, peer, context))) throw new HandshakeError('wrong_key')
      context.onAuthenticated({ vm: to, boot: peer.boot as BootId, key })
      return 'done'
    }
  })
  send(socket, { version: PROTOCOL_VERSION, ...self, to })
}

class HandshakeError extends Error {
  readonly reason: HandshakeFailure
  constructor (reason: HandshakeFailure) {
    super(reason)
    this.reason = reason
  }
}

/**
 * Passes each message to the current step. Steps run synchronously in the message event handler, because the first
 * frame after the handshake can arrive in the same socket read as the last handshake message.
 */
function runSteps (socket: WebSocket, context: HandshakeContext, first: HandshakeStep): void {
  let step: HandshakeStep | 'done' = first
  const onMessage = (data: RawData, isBinary: boolean) => {
    if (step === 'done') return
    try {
      if (isBinary) throw new HandshakeError('malformed')
      const current: HandshakeStep = step
      step = 'done'
      step = current(JSON.parse(String(data)))
    } catch (error) {
      socket.off('message', onMessage)
      context.onFailure(error instanceof HandshakeError ? error.reason : 'malformed')
    }
    if (step === 'done') socket.off('message', onMessage)
  }
  socket.on('message', onMessage)
}

function createOwnParty ({ identity }: HandshakeContext): Party {
  return { vm: identity.vm, boot: identity.boot, nonce: randomBytes(NONCE_BYTES).toString('hex') }
}

function send (socket: WebSocket, message: object): void {
  socket.send(JSON.stringify(message))
}

function computeMac (key: string, role: 'connecting' | 'accepting', connecting: Party, accepting: Party, { channelBinding }: HandshakeContext): Buffer {
  const parties = [connecting, accepting].flatMap(({ vm, boot, nonce }) => [vm, boot, nonce])
  const transcript = JSON.stringify(['lacewingstage-peer', PROTOCOL_VERSION, role, ...parties, channelBinding.toString('hex')])
  return createHmac('sha256', key).update(transcript).digest()
}

function macEquals (mac: string, expected: Buffer): boolean {
  return timingSafeEqual(Buffer.from(mac, 'hex'), expected)
}
