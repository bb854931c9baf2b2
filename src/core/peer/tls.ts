/**
 * TLS for the connections of the peer links. Both sides present a certificate issued by the configured certificate
 * authority. Host names are not checked, because VMs are addressed by IP address and prove their id in the handshake.
 */
import { readFileSync } from 'node:fs'
import type { Socket } from 'node:net'
import { TLSSocket } from 'node:tls'
import { errorMessage, SettingsError } from '../errors/index.ts'
import type { Settings } from '../settings/index.ts'

export interface PeerTls {
  cert: string | Buffer
  key: string | Buffer
  ca: string | Buffer
}

const EXPORTER_LABEL = 'EXPORTER-lacewingstage-peer'
const EXPORTED_BYTES = 32

/** Reads the PEM files named in the settings; undefined if none is set. Throws SettingsError if only some are set or one is unreadable. */
export function readPeerTls (peer: Settings['peer']): PeerTls | undefined {
  const { tls_cert_file: cert, tls_key_file: key, tls_ca_file: ca } = peer
  if (!cert && !key && !ca) return undefined
  if (!cert || !key || !ca) {
    throw new SettingsError('settings_invalid', { detail: 'peer.tls_cert_file, peer.tls_key_file and peer.tls_ca_file: set all three or none' })
  }
  return { cert: readPemFile('tls_cert_file', cert), key: readPemFile('tls_key_file', key), ca: readPemFile('tls_ca_file', ca) }
}

function readPemFile (setting: string, file: string): Buffer {
  try {
    return readFileSync(file)
  } catch (error) {
    throw new SettingsError('settings_invalid', { detail: `peer.${setting}: ${file}: cannot be read: ${errorMessage(error)}`, cause: error })
  }
}

/** Exports keying material that binds the handshake to this TLS session (RFC 5705); empty without TLS. */
export function channelBinding (socket: Socket): Buffer {
  if (!(socket instanceof TLSSocket)) return Buffer.alloc(0)
  return socket.exportKeyingMaterial(EXPORTED_BYTES, EXPORTER_LABEL, Buffer.alloc(0))
}
