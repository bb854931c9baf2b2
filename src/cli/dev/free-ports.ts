/** Finds free loopback ports by binding and releasing them, for servers whose address must be known before they start. */
import { once } from 'node:events'
import { createServer, type AddressInfo } from 'node:net'

export async function freePorts (count: number, host = '127.0.0.1'): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer().listen(0, host))
  await Promise.all(servers.map(server => once(server, 'listening')))
  const ports = servers.map(server => (server.address() as AddressInfo).port)
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return ports
}
