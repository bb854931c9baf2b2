import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import type { TrafficConfig } from '../../src/core/forwarding/types.ts'
import { brandId, type TeamId } from '../../src/core/ids/index.ts'
import { exchangeBytes, KINDS, trafficConfig, type ForwardingVmHarness, type RawResponse } from '../support/forwarding-vm-harness.ts'
import { pipelinedRequest } from '../support/pipelined-requests.ts'

interface ConfigChangeWorld {
  harness: ForwardingVmHarness
  responses: RawResponse[]
  lastResponseMs: number
}

/** Time without confirmation after which the harness's VM no longer accepts keys. */
const UNCONFIRMED_MS = 2000

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

const CONFIG_CHANGES: Record<string, (config: TrafficConfig) => TrafficConfig> = {
  'its route is removed': config => ({ ...config, routes: config.routes.filter(({ pathPrefix }) => pathPrefix !== '/order/') }),
  'its service is removed': config => ({ ...config, services: [] }),
  'its team is removed': config => ({ ...config, teams: [{ id: brandId<TeamId>('team-2'), keys: ['other-key'], priority: undefined }] }),
  'all teams are removed': config => ({ ...config, teams: [] }),
  'the idle timeout is lowered': config => ({ ...config, limits: { ...config.limits, idleTimeoutMs: 1 } })
}

function applyChange ({ store }: ForwardingVmHarness, change: string): void {
  if (change === 'nothing is confirmed') return
  if (change === 'its backend server is removed') return store.remove(KINDS.backendServers, 'backend-0')
  store.put(KINDS.config, 'main', CONFIG_CHANGES[change]!(trafficConfig(2)))
}

When(/^a caller's request to (\S+) waits for (capacity|confirmation) and (.*)$/, { timeout: 10_000 }, async function (this: ConfigChangeWorld, path: string, cause: string, change: string) {
  const { callerAddress } = this.harness.settings
  const send = (toPath: string) => exchangeBytes(callerAddress, pipelinedRequest({ path: toPath, closes: true }))
  if (cause === 'confirmation') {
    this.harness.store.setDown(true)
    await sleep(UNCONFIRMED_MS)
  }
  const others = cause === 'capacity' ? [send('/short/1'), send('/short/1')] : []
  await sleep(40)
  const sentMs = performance.now()
  const waiting = send(path)
  await sleep(100)
  if (change !== 'nothing is confirmed') this.harness.store.setDown(false)
  applyChange(this.harness, change)
  this.responses = [await waiting]
  this.lastResponseMs = performance.now() - sentMs
  assert.deepEqual((await Promise.all(others)).map(({ status }) => status), others.map(() => 504))
})

Then('the caller gets status {int} or {int}', function (this: ConfigChangeWorld, first: number, second: number) {
  assert.ok([first, second].includes(this.responses.at(-1)!.status), this.responses.at(-1)!.head)
})
