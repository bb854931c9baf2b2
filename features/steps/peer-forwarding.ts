import assert from 'node:assert/strict'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { KEY_KIND, KEY_NAME } from '../../src/core/fleet/constants.ts'
import { brandId, type ModelId, type RequestId } from '../../src/core/ids/index.ts'
import { encodeOrigin, FORWARDED_ERROR_HEADER, FORWARDED_HEADER, FORWARDED_STATEMENTS } from '../../src/core/peer-forwarding/message.ts'
import { eventsOf, sendTo, startPartitionedFleet, type Answer, type FleetVm, type PartitionedFleet, type RequestOptions, type SentRequest } from '../support/partitioned-fleet.ts'
import type { LinkState } from '../support/links.ts'
import { digestOf, STREAM_LENGTH, type Run } from '../support/task-backend.ts'

export interface PeerWorld {
  fleet: PartitionedFleet
  cutMs: number
  stopTraffic(): Promise<void>
  /** Answers to the traffic, by VM. */
  traffic: { vm: number, answer: Answer }[]
  sent: SentRequest[]
  body: Buffer
}

const TRAFFIC_PERIOD_MS = 100
const MAX_WAIT_MS = 4000

After({ tags: '@peer-forwarding' }, async function (this: Partial<PeerWorld>) {
  await this.stopTraffic?.()
  await this.fleet?.close()
})

/** Sends a request to each VM again and again. */
function startTraffic (world: PeerWorld): void {
  const open = new Set<Promise<void>>()
  world.traffic = []
  const timer = setInterval(() => {
    world.fleet.vms.forEach((vm, index) => {
      const done = sendTo(vm, '/read/traffic').answer.then(answer => { world.traffic.push({ vm: index, answer }) })
      open.add(done)
      void done.then(() => open.delete(done))
    })
  }, TRAFFIC_PERIOD_MS)
  world.stopTraffic = async () => {
    clearInterval(timer)
    await Promise.all(open)
  }
}

export async function until (isTrue: () => boolean, maxMs = MAX_WAIT_MS): Promise<void> {
  const endMs = performance.now() + maxMs
  while (!isTrue()) {
    assert.ok(performance.now() < endMs, 'did not happen in time')
    await sleep(10)
  }
}

const vmAt = ({ fleet }: PeerWorld, number: number | string): FleetVm => fleet.vms[Number(number) - 1]!
const handedOnBy = ({ decisions }: FleetVm) => decisions.filter(({ decision }) => decision === 'handed_on')
export const runsOf = ({ fleet }: PeerWorld, { id }: Pick<SentRequest, 'id'>): Run[] => fleet.runs.filter(run => run.id === id)

async function cut (world: PeerWorld, vm: FleetVm, state: LinkState, services = [...vm.links.keys()]): Promise<void> {
  for (const service of services) await vm.links.get(service)!.set(state)
  world.cutMs = performance.now()
}

/** Number of the VM that serves a request for another one. */
function receiverOf (world: PeerWorld, { id }: SentRequest, sender = vmAt(world, 1)): FleetVm {
  const to = handedOnBy(sender).filter(({ fields }) => fields.id === id).at(-1)?.fields.to
  const found = world.fleet.vms.find(({ settings }) => settings.vm === to)
  assert.ok(found, `${id} was not handed on`)
  return found
}

Given(/^(\d+) forwarding VMs with callers$/, { timeout: 20_000 }, async function (this: PeerWorld, count: string) {
  this.fleet = await startPartitionedFleet(Number(count))
  this.sent = []
  startTraffic(this)
  await sleep(300)
})

Given(/^(\d+) forwarding VMs( without retries of their own,)? of which VM 1 is cut off$/, { timeout: 30_000 }, async function (this: PeerWorld, count: string, isWithoutRetries: string | null) {
  this.fleet = await startPartitionedFleet(Number(count), isWithoutRetries ? { retryShare: 0.9, retrySlack: 0, retryWindowMs: 1000 } : {})
  this.sent = []
  startTraffic(this)
  await sleep(300)
  await cut(this, vmAt(this, 1), 'refused')
  await until(() => handedOnBy(vmAt(this, 1)).length > 2)
})

When(/^the links of VMs? ([\d, ]+) (?:are|become) (\w+)$/, async function (this: PeerWorld, numbers: string, state: LinkState) {
  for (const number of numbers.split(',')) await cut(this, vmAt(this, number), state)
})

When(/^the links of VM (\d) are (\w+) for (\d+) ms$/, async function (this: PeerWorld, number: string, state: LinkState, ms: string) {
  await cut(this, vmAt(this, number), state)
  const { cutMs } = this
  await sleep(Number(ms))
  await cut(this, vmAt(this, number), 'open')
  this.cutMs = cutMs
})

When(/^(\d+) ms pass with callers$/, { timeout: 20_000 }, async function (this: PeerWorld, ms: string) {
  await sleep(Number(ms))
})

/** Answers to requests that were sent from some time after the last change of the links. */
function answersOf (world: PeerWorld, vm: number, fromMs: number): Answer[] {
  return world.traffic.filter(({ vm: index, answer }) => index === vm - 1 && answer.sentMs >= world.cutMs + fromMs).map(({ answer }) => answer)
}

Then(/^the requests at VM (\d) from (\d+) ms after (?:the cut|the change|the end of VM 2) are served within (\d+) ms$/, async function (this: PeerWorld, vm: string, fromMs: string, ms: string) {
  await this.stopTraffic()
  const answers = answersOf(this, Number(vm), Number(fromMs))
  assert.ok(answers.length >= 10, `${answers.length} answers`)
  const bad = answers.filter(({ status, afterMs }) => status !== 200 || afterMs > Number(ms))
  assert.deepEqual(bad.map(({ status, sentMs, afterMs }) => `${status} ${Math.round(sentMs - this.cutMs)} ${Math.round(afterMs)}`), [])
})

Then(/^the requests at VM (\d) from (\d+) ms after the cut are refused within (\d+) ms$/, async function (this: PeerWorld, vm: string, fromMs: string, ms: string) {
  await this.stopTraffic()
  const answers = answersOf(this, Number(vm), Number(fromMs))
  assert.ok(answers.length >= 10, `${answers.length} answers`)
  const bad = answers.filter(({ status, afterMs }) => status !== 503 || afterMs > Number(ms))
  assert.deepEqual(bad.map(({ status, sentMs, afterMs }) => `${status} ${Math.round(sentMs - this.cutMs)} ${Math.round(afterMs)}`), [])
})

Then(/^VM (\d) hands requests on, and VM (\d) does not$/, function (this: PeerWorld, one: string, other: string) {
  assert.ok(handedOnBy(vmAt(this, one)).length > 0)
  assert.equal(handedOnBy(vmAt(this, other)).length, 0)
})

Then(/^no VM has logged an error$/, function (this: PeerWorld) {
  assert.deepEqual(this.fleet.vms.flatMap(({ errors }) => errors), [])
})

When(/^VM (\d) gets (an order|a read|a stream|a cascade)(?: with (?:(\d+) ms|the task (.+)))?$/, function (this: PeerWorld, vm: string, kind: string, waitMs: string | null, task: string | null) {
  const path = { 'an order': '/order/1', 'a read': '/read/1', 'a stream': '/stream/1', 'a cascade': '/cascade/1' }[kind]!
  const options: RequestOptions = { method: kind === 'an order' ? 'POST' : 'GET', waitMs: Number(waitMs ?? 3000), task: waitMs ? 'late 2000' : task ?? '' }
  this.sent.push(sendTo(vmAt(this, vm), path, options))
})

When('the request runs', async function (this: PeerWorld) {
  await until(() => runsOf(this, this.sent.at(-1)!).length > 0)
})

When(/^the caller has got (\d+) events$/, async function (this: PeerWorld, count: string) {
  await until(() => eventsOf(this.sent.at(-1)!.received()).length >= Number(count))
})

When('the VM that serves it ends', async function (this: PeerWorld) {
  await receiverOf(this, this.sent.at(-1)!).vm.close()
})

When('the VM that serves it is stopped', function (this: PeerWorld) {
  void receiverOf(this, this.sent.at(-1)!).vm.stop()
})

When(/^VM (\d) is stopped$/, function (this: PeerWorld, vm: string) {
  void vmAt(this, vm).vm.stop()
})

When(/^the caller leaves$/, function (this: PeerWorld) {
  this.sent.at(-1)!.leave()
})

Then(/^the answer has status (\d+)(?: within (\d+) ms)?$/, { timeout: 10_000 }, async function (this: PeerWorld, status: string, ms: string | null) {
  const answer = await this.sent.at(-1)!.answer
  assert.equal(answer.status, Number(status), answer.body)
  assert.equal(answer.wasCut, false)
  if (ms) assert.ok(answer.afterMs <= Number(ms), `after ${Math.round(answer.afterMs)} ms`)
})

Then('the answer has neither a length nor a statement of a VM', async function (this: PeerWorld) {
  const { headers } = await this.sent.at(-1)!.answer
  assert.deepEqual(['content-length', 'transfer-encoding', ...FORWARDED_STATEMENTS].filter(name => headers[name.toLowerCase()] !== undefined), [])
})

Then(/^it has run (\d+) times?$/, async function (this: PeerWorld, times: string) {
  await sleep(300)
  assert.equal(runsOf(this, this.sent.at(-1)!).length, Number(times))
})

Then('the run is cancelled', async function (this: PeerWorld) {
  await until(() => runsOf(this, this.sent.at(-1)!).some(({ isCancelled }) => isCancelled), 500)
})

Then(/^the caller gets every (?:event|one of (\d+) events) once$/, { timeout: 10_000 }, async function (this: PeerWorld, count: string | null) {
  const { status, body, wasCut } = await this.sent.at(-1)!.answer
  assert.deepEqual({ status, wasCut, events: eventsOf(body) }, { status: 200, wasCut: false, events: Array.from({ length: Number(count ?? STREAM_LENGTH) }, (_, index) => index + 1) })
})

Then('all events are of one model', async function (this: PeerWorld) {
  const { body } = await this.sent.at(-1)!.answer
  assert.deepEqual([...new Set([...body.matchAll(/^data: (\w+)/gm)].map(([, model]) => model))], ['small'])
})

Then(/^no request has been handed on from (\d+) ms after the cut$/, function (this: PeerWorld, ms: string) {
  const late = this.fleet.vms.flatMap(handedOnBy).filter(({ atMs }) => atMs > this.cutMs + Number(ms))
  assert.deepEqual(late.map(({ fields }) => fields), [])
})

When(/^the links of VM (\d) to the first service become (\w+)$/, async function (this: PeerWorld, vm: string, state: LinkState) {
  await cut(this, vmAt(this, vm), state, ['service'])
})

When(/^VM (\d) gets a read of the second service$/, function (this: PeerWorld, vm: string) {
  this.sent.push(sendTo(vmAt(this, vm), '/second/1'))
})

Then('it was not handed on, but others were', function (this: PeerWorld) {
  const ids = handedOnBy(vmAt(this, 1)).map(({ fields }) => fields.id)
  assert.ok(ids.length > 0)
  assert.ok(!ids.includes(this.sent.at(-1)!.id))
})

When(/^VM (\d) ends$/, async function (this: PeerWorld, vm: string) {
  this.cutMs = performance.now()
  await vmAt(this, vm).vm.close()
})

When(/^VM (\d) does not take version 2 of the configuration, which the others have$/, async function (this: PeerWorld, vm: string) {
  vmAt(this, vm).newestConfig.version = 1
  this.fleet.putConfig(2)
  await sleep(300)
  this.cutMs = performance.now()
})

Then(/^VM (\d) has got the refusal "(\w+)" from VM (\d)$/, function (this: PeerWorld, vm: string, error: string, refusing: string) {
  const { decisions } = vmAt(this, vm)
  const refused = decisions.filter(({ decision, fields }) => decision === 'attempt_repeated' && fields.reason === error)
  assert.ok(refused.length > 0)
  const { id } = refused[0]!.fields
  assert.equal(decisions.find(({ decision, fields }) => decision === 'handed_on' && fields.id === id)?.fields.to, vmAt(this, refusing).settings.vm)
})

When(/^VM (\d) gets (an|a chunked) order of (\d+) bytes$/, function (this: PeerWorld, vm: string, kind: string, bytes: string) {
  this.body = Buffer.from(Array.from({ length: Number(bytes) }, (_, index) => index * 7919 % 251))
  this.sent.push(sendTo(vmAt(this, vm), '/order/1', { method: 'POST', body: this.body, isChunked: kind === 'a chunked' }))
})

Then('the backend server got the same bytes and a length', function (this: PeerWorld) {
  const [run] = runsOf(this, this.sent.at(-1)!)
  assert.equal(run!.digest, digestOf(this.body))
  assert.equal(run!.headers['content-length'], String(this.body.length))
})

When(/^VM (\d) gets a (GET|HEAD) request$/, function (this: PeerWorld, vm: string, method: string) {
  this.sent.push(sendTo(vmAt(this, vm), '/read/1', { method }))
})

Then(/^fewer than (\d+) events have been written$/, function (this: PeerWorld, count: string) {
  const [run] = runsOf(this, this.sent.at(-1)!)
  assert.ok(run!.events < Number(count), `${run!.events} events`)
})

When(/^the caller reads nothing for (\d+) ms$/, async function (this: PeerWorld, ms: string) {
  const request = this.sent.at(-1)!
  await until(() => request.received() !== '')
  request.pause()
  await sleep(Number(ms))
  setImmediate(request.resume)
})

Then(/^it has a time to return: (yes|no)$/, async function (this: PeerWorld, has: string) {
  const { headers } = await this.sent.at(-1)!.answer
  assert.equal(headers['retry-after'] !== undefined, has === 'yes')
})

Then(/^it has run at most (\d+) times$/, async function (this: PeerWorld, times: string) {
  await sleep(300)
  const { length } = runsOf(this, this.sent.at(-1)!)
  assert.ok(length >= 1 && length <= Number(times), `${length} runs`)
})

When(/^the request has run (\d+) times$/, async function (this: PeerWorld, times: string) {
  await until(() => runsOf(this, this.sent.at(-1)!).length >= Number(times))
})

/** Sends a request to a VM as another one hands it on. */
When(/^VM (\d) gets (an|a busy) order handed on(?: with configuration (\d+)| with the key ([\w-]+)| after (\d) attempts| with (\d+) ms| with a (forged) statement)? of VM (\d)$/, function (this: PeerWorld, vm: string, kind: string, configVersion: string | null, ownKey: string | null, attempts: string | null, remainingMs: string | null, forged: string | null, sender: string) {
  const receiver = vmAt(this, vm)
  const id = `handed-on-${this.sent.length}`
  const stored = (this.fleet.store.peek(KEY_KIND, KEY_NAME)!.spec as { key: string }).key
  const origin = { vm: vmAt(this, sender).settings.vm, remainingMs: Number(remainingMs ?? 3000), attempts: Number(attempts ?? 0), maxAttempts: 1, configVersion: Number(configVersion ?? 1) }
  const statement = encodeOrigin(origin, { receiver: receiver.settings.vm, id: brandId<RequestId>(id), method: 'POST', target: '/order/1' }, forged ? 'guessed' : stored)
  const task = kind === 'a busy' ? 'busy' : remainingMs ? 'late 1000' : ''
  this.sent.push(sendTo(receiver, '/order/1', { method: 'POST', id, key: ownKey ?? 'good-key', task, headers: { [FORWARDED_HEADER]: statement } }))
})

Then(/^it names the error "(\w+)"$/, async function (this: PeerWorld, error: string) {
  const { headers } = await this.sent.at(-1)!.answer
  assert.equal(headers[FORWARDED_ERROR_HEADER.toLowerCase()], error)
})

When(/^VM (\d) gets an order with (\d+) bytes of headers$/, function (this: PeerWorld, vm: string, bytes: string) {
  // The other headers of the request take up some 200 bytes.
  this.sent.push(sendTo(vmAt(this, vm), '/order/1', { method: 'POST', headers: { 'x-filler': 'x'.repeat(Number(bytes) - 200) } }))
})

When(/^VM (\d) does not take version 2 of the configuration, which withdraws the key$/, async function (this: PeerWorld, vm: string) {
  vmAt(this, vm).newestConfig.version = 1
  this.fleet.putConfig(2, { keys: ['new-key'] })
  await sleep(300)
})

Then('the second run has begun behind the last event of the first one', function (this: PeerWorld) {
  const [first, second] = runsOf(this, this.sent.at(-1)!)
  // The last events of the first run may have been lost with the receiver.
  assert.ok(second!.firstEvent > 5 && second!.firstEvent <= first!.events + 1, `${second!.firstEvent} after ${first!.events}`)
})

When(/^VM (\d) gets a cascade handed on by VM (\d) behind event (\d+) of the model "(\w+)"$/, function (this: PeerWorld, vm: string, sender: string, lastEventId: string, model: string) {
  const receiver = vmAt(this, vm)
  const id = `continued-${this.sent.length}`
  const { key } = this.fleet.store.peek(KEY_KIND, KEY_NAME)!.spec as { key: string }
  const origin = { vm: vmAt(this, sender).settings.vm, remainingMs: 3000, attempts: 1, maxAttempts: 1, configVersion: 1, lastEventId: Number(lastEventId), model: brandId<ModelId>(model) }
  const statement = encodeOrigin(origin, { receiver: receiver.settings.vm, id: brandId<RequestId>(id), method: 'GET', target: '/cascade/1' }, key)
  this.sent.push(sendTo(receiver, '/cascade/1', { id, headers: { [FORWARDED_HEADER]: statement } }))
})

Then(/^its run begins with event (\d+) of the model "(\w+)"$/, async function (this: PeerWorld, event: string, model: string) {
  await this.sent.at(-1)!.answer
  const [run] = runsOf(this, this.sent.at(-1)!)
  assert.deepEqual([run!.firstEvent, run!.headers['x-test-model']], [Number(event), model])
})
