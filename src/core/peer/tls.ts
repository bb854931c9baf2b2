/**
 * TLS of the links between VMs. Both sides present a certificate of the configured authority. Host names are not
 * checked, because VMs are addressed by IP number and prove their id in the handshake.
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

/** Reads the files named in the settings; undefined when none is named. Throws SettingsError when some are missing. */
export function readPeerTls (peer: Settings['peer']): PeerTls | undefined {
  const { tls_cert_file: cert, tls_key_file: key, tls_ca_file: ca } = peer
  if (!cert && !key && !ca) return undefined
  if (!cert || !key || !ca) {
    throw new SettingsError('settings_invalid', { detail: 'peer.tls_cert_file, peer.tls_key_file and peer.tls_ca_file: set all three or none' })
  }
  return { cert: readPem('tls_cert_file', cert), key: readPem('tls_key_file', key), ca: readPem('tls_ca_file', ca) }
}

function readPem (setting: string, file: string): Buffer {
  try {
    return readFileSync(file)
  } catch (error) {
    throw new SettingsError('settings_invalid', { detail: `peer.${setting}: ${file}: cannot be read: ${errorMessage(error)}`, cause: error })
  }
}

/** Keying material that both ends of a TLS session share; ties the handshake to this session. */
export function channelBinding (socket: Socket): Buffer {
  if (!(socket instanceof TLSSocket)) return Buffer.alloc(0)
  return socket.exportKeyingMaterial(EXPORTED_BYTES, EXPORTER_LABEL, Buffer.alloc(0))
}
