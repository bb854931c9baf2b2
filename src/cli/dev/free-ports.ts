/**
 * Finds free loopback ports for servers whose address must be known before they start. They lie below the range from
 * which Linux takes ports of outgoing connections (32768 and up): a port from that range can be taken between the check
 * and the start of the server, which then fails with EADDRINUSE.
 */
import { once } from 'node:events'
import { createServer } from 'node:net'

const FIRST_PORT = 10_000
const LAST_PORT = 32_000

/** Starts at a random port, so that fleets of several processes rarely try the same ones. */
export async function freePorts (count: number, host = '127.0.0.1'): Promise<number[]> {
  const ports: number[] = []
  const span = LAST_PORT - FIRST_PORT
  const offset = Math.floor(Math.random() * span)
  for (let step = 0; ports.length < count && step < span; step++) {
    const port = FIRST_PORT + (offset + step) % span
    if (await isFree(port, host)) ports.push(port)
  }
  return ports
}

async function isFree (port: number, host: string): Promise<boolean> {
  const server = createServer()
  try {
    server.listen(port, host)
    await once(server, 'listening')
  } catch {
    return false
  }
  server.close()
  await once(server, 'close')
  return true
}
