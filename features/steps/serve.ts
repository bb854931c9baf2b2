import assert from 'node:assert/strict'
import { once } from 'node:events'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { stringify } from 'smol-toml'
import { findFreePorts } from '../../src/cli/dev/free-ports.ts'
import { startProcess, type RunningProcess } from '../support/processes.ts'

interface ServeWorld {
  process: RunningProcess
  settingsPath: string
  exit: Promise<unknown[]>
}

const PAUSE_MS = 200

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

After({ tags: '@serve' }, async function (this: Partial<ServeWorld>) { await this.process?.kill() })

Given("a VM's process without an object API", async function (this: ServeWorld) {
  const [callerPort, peerPort, storePort] = await findFreePorts(3)
  this.settingsPath = join(mkdtempSync(join(tmpdir(), 'serve-')), 'vm.toml')
  writeFileSync(this.settingsPath, stringify({
    vm: { id: 'vm-1', region: 'region', data_centre: 'dc-1', caller_address: `127.0.0.1:${callerPort}`, peer_address: `127.0.0.1:${peerPort}`, seeds: [] },
    object_api: { url: `http://127.0.0.1:${storePort}`, timeout_ms: 1000 },
    peer: { shared_keys: ['peer-key-of-the-test-0123456789ab'] },
    sessions: { token_keys: ['token-key-of-the-test-0123456789a'] },
    shutdown: { announce_ms: 500 }
  }))
  this.process = await startProcess(['serve', '--settings', this.settingsPath])
  this.exit = once(this.process.child, 'exit')
})

When('its settings become unreadable and it gets SIGHUP', async function (this: ServeWorld) {
  writeFileSync(this.settingsPath, 'unreadable')
  this.process.child.kill('SIGHUP')
  await sleep(PAUSE_MS)
})

Then('it still answers', async function (this: ServeWorld) {
  // Not ready, as there is no object API.
  assert.equal((await fetch(`${String(this.process.details.url)}/health`)).status, 503)
})

When(/^it gets SIGTERM( twice)?$/, async function (this: ServeWorld, twice: string | null) {
  this.process.child.kill('SIGTERM')
  if (!twice) return
  await sleep(PAUSE_MS)
  this.process.child.kill('SIGTERM')
})

Then('it has ended with status {int}', { timeout: 15_000 }, async function (this: ServeWorld, status: number) {
  assert.deepEqual(await this.exit, [status, null])
})
