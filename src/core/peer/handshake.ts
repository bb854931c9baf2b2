/**
 * Mutual authentication of a connection. Both sides send a nonce and prove knowledge of a shared key by an HMAC over
 * both identities, both nonces and, with TLS, the keying material of the TLS session. The connecting side proves
 * itself first, with its first key; the answer uses the same key.
 *
 *   connecting side                       accepting side
 *   hello {vm, boot, to, nonce}    ->
 *                                  <-     challenge {vm, boot, nonce}
 *   proof {mac}                    ->
 *                                  <-     proof {mac}
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
  /** Key that both sides proved. */
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
const name = z.string().min(1).max(128)
const nonceText = z.string().regex(/^[0-9a-f]{64}$/)
const helloSchema = z.strictObject({ version: z.number().int(), vm: name, boot: name, to: name, nonce: nonceText })
const challengeSchema = z.strictObject({ vm: name, boot: name, nonce: nonceText })
const proofSchema = z.strictObject({ mac: z.string().regex(/^[0-9a-f]{64}$/) })

type Step = (message: unknown) => Step | 'done'

/** Runs the accepting side. Exactly one of the callbacks is called, unless the connection ends before. */
export function acceptHandshake (socket: WebSocket, context: HandshakeContext): void {
  const self = ownParty(context)

  runSteps(socket, context, message => {
    const hello = helloSchema.parse(message)
    if (hello.version !== PROTOCOL_VERSION) throw new Refusal('wrong_version')
    if (hello.to !== self.vm) throw new Refusal('wrong_vm')
    send(socket, self)
    return proof => {
      const { mac } = proofSchema.parse(proof)
      const key = context.keys().find(candidate => matches(mac, prove(candidate, 'connecting', hello, self, context)))
      if (key === undefined) throw new Refusal('wrong_key')
      send(socket, { mac: prove(key, 'accepting', hello, self, context).toString('hex') })
      context.onAuthenticated({ vm: hello.vm as VmId, boot: hello.boot as BootId, key })
      return 'done'
    }
  })
}

/** Runs the connecting side towards VM `to`. */
export function startHandshake (socket: WebSocket, to: VmId, context: HandshakeContext): void {
  const self = ownParty(context)
  const key = context.keys()[0] ?? ''

  runSteps(socket, context, message => {
    const peer = challengeSchema.parse(message)
    if (peer.vm !== to) throw new Refusal('wrong_vm')
    send(socket, { mac: prove(key, 'connecting', self, peer, context).toString('hex') })
    return proof => {
      const { mac } = proofSchema.parse(proof)
      if (!matches(mac, prove(key, 'accepting', self, peer, context))) throw new Refusal('wrong_key')
      context.onAuthenticated({ vm: to, boot: peer.boot as BootId, key })
      return 'done'
    }
  })
  send(socket, { version: PROTOCOL_VERSION, ...self, to })
}

class Refusal extends Error {
  readonly reason: HandshakeFailure
  constructor (reason: HandshakeFailure) {
    super(reason)
    this.reason = reason
  }
}

/**
 * Passes each message to the next step. Steps run inside the message event, because the first frame after the
 * handshake can arrive in the same read as its last message.
 */
function runSteps (socket: WebSocket, context: HandshakeContext, first: Step): void {
  let step: Step | 'done' = first
  const onMessage = (data: RawData, isBinary: boolean) => {
    if (step === 'done') return
    try {
      if (isBinary) throw new Refusal('malformed')
      const current: Step = step
      step = 'done'
      step = current(JSON.parse(String(data)))
    } catch (error) {
      socket.off('message', onMessage)
      context.onFailure(error instanceof Refusal ? error.reason : 'malformed')
    }
    if (step === 'done') socket.off('message', onMessage)
  }
  socket.on('message', onMessage)
}

function ownParty ({ identity }: HandshakeContext): Party {
  return { vm: identity.vm, boot: identity.boot, nonce: randomBytes(NONCE_BYTES).toString('hex') }
}

function send (socket: WebSocket, message: object): void {
  socket.send(JSON.stringify(message))
}

function prove (key: string, side: 'connecting' | 'accepting', connecting: Party, accepting: Party, { channelBinding }: HandshakeContext): Buffer {
  const parties = [connecting, accepting].flatMap(({ vm, boot, nonce }) => [vm, boot, nonce])
  const transcript = JSON.stringify(['lacewingstage-peer', PROTOCOL_VERSION, side, ...parties, channelBinding.toString('hex')])
  return createHmac('sha256', key).update(transcript).digest()
}

function matches (mac: string, expected: Buffer): boolean {
  return timingSafeEqual(Buffer.from(mac, 'hex'), expected)
}
