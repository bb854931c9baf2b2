import assert from 'node:assert/strict'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import type { VmId } from '../../src/core/ids/index.ts'
import { createVmListReader } from '../../src/core/membership/index.ts'
import { startFaultProxy, type FaultProxy } from '../../src/standin/fault-proxy/index.ts'
import { startVmList, type VmList } from '../../src/standin/vm-list/index.ts'
import { until } from './membership-network.ts'

interface ProxyWorld {
  target: Server
  receivedByTarget: string
  faultProxy: FaultProxy
  client: Socket
  receivedByClient: string
  end: Promise<string>
  vmList: VmList
  listClock: ManualClock
}

After({ tags: '@fault-proxy' }, async function (this: Partial<ProxyWorld>) {
  this.client?.destroy()
  await this.faultProxy?.close()
  this.target?.close()
  await this.vmList?.close()
})

Given('a fault proxy in front of an echo server', async function (this: ProxyWorld) {
  this.receivedByTarget = ''
  this.target = createServer(socket => {
    socket.on('error', () => {})
    socket.on('data', chunk => {
      this.receivedByTarget += chunk.toString()
      socket.write(chunk)
    })
  })
  await new Promise<void>(resolve => this.target.listen(0, '127.0.0.1', resolve))
  const { port } = this.target.address() as AddressInfo
  this.faultProxy = await startFaultProxy({ target: `127.0.0.1:${port}`, controlPort: 0 })
})

When(/^the fault proxy gets the faults (.*) over its control port$/, async function (this: ProxyWorld, faults: string) {
  const response = await fetch(this.faultProxy.controlUrl, { method: 'PUT', body: faults })
  assert.equal(response.status, 200)
})

When('a proxy client sends {string}', async function (this: ProxyWorld, text: string) {
  this.receivedByClient = ''
  this.client = connect(this.faultProxy.port, '127.0.0.1')
  this.client.on('data', chunk => { this.receivedByClient += chunk.toString() })
  this.end = new Promise(resolve => {
    this.client.on('error', error => resolve((error as NodeJS.ErrnoException).code ?? 'error'))
    this.client.on('close', () => resolve('closed'))
  })
  this.client.write(text)
})

Then(/^the proxy client sees (.*)$/, async function (this: ProxyWorld, expected: string) {
  const steps: Record<string, () => Promise<void>> = {
    'the answer': () => until(() => this.receivedByClient === '0123456789'),
    'a reset': async () => { assert.equal(await this.end, 'ECONNRESET') },
    '4 bytes and the end': async () => {
      await this.end
      assert.equal(this.receivedByClient, '0123')
    },
    'nothing until a reset': async () => {
      await until(() => this.faultProxy.lostBytes() === 10)
      assert.equal(this.receivedByClient, '')
      this.faultProxy.clear()
      assert.equal(await this.end, 'ECONNRESET')
    },
    'nothing until unfrozen': async () => {
      await until(() => this.faultProxy.connections() === 1)
      assert.equal(this.receivedByTarget + this.receivedByClient, '')
      this.faultProxy.clear()
      await until(() => this.receivedByClient === '0123456789')
    }
  }
  await steps[expected]!()
})

Then('the proxy target received {string}', function (this: ProxyWorld, text: string) {
  assert.equal(this.receivedByTarget, text)
})

Given('a VM list with a lag of {int} ms', async function (this: ProxyWorld, lagMs: number) {
  this.listClock = createManualClock()
  this.vmList = await startVmList({ lagMs, clock: this.listClock })
})

When('the VM list stand-in is set so that {word} is leaving', async function (this: ProxyWorld, vm: string) {
  const body = JSON.stringify({ vms: [{ id: vm, address: '127.0.0.1:1', state: 'leaving' }] })
  assert.equal((await fetch(this.vmList.url, { method: 'PUT', body })).status, 200)
})

When('{int} ms pass on the VM list clock', async function (this: ProxyWorld, ms: number) {
  await this.listClock.advance(ms)
})

Then('the VM list reader sees no VM', async function (this: ProxyWorld) {
  assert.deepEqual(await createVmListReader({ url: this.vmList.url })(), [])
})

Then('the VM list reader sees {word} leaving', async function (this: ProxyWorld, vm: string) {
  const vms = await createVmListReader({ url: this.vmList.url })()
  assert.deepEqual(vms, [{ id: vm as VmId, address: '127.0.0.1:1', state: 'leaving' }])
})
