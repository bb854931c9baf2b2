/**
 * Finds free loopback ports for servers whose address must be known before they start. The ports are below the range
 * that Linux uses for outgoing connections (32768 and up): an outgoing connection could take a port of that range between
 * the check and the start of the server, which would then fail with EADDRINUSE.
 */
import { once } from 'node:events'
import { createServer } from 'node:net'

const FIRST_PORT = 10_000
const LAST_PORT = 32_000

/** Starts the search at a random port, so that fleets of several processes rarely try the same ports. */
export async function findFreePorts (count: number, host = '127.0.0.1'): Promise<number[]> {
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
