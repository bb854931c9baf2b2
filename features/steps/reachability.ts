/** The decision that a VM is cut off from a service, the choice of another VM, and the statement about a request that is handed on. */
import assert from 'node:assert/strict'
import { createHmac } from 'node:crypto'
import { Given, Then, When } from '@cucumber/cucumber'
import { brandId, type DataCentreId, type ModelId, type RequestId, type ServiceId, type VmId } from '../../src/core/ids/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import type { CallerRequest } from '../../src/core/forwarding/types.ts'
import { createPeerForwarding } from '../../src/core/peer-forwarding/index.ts'
import { choosePeer, type Candidate } from '../../src/core/peer-forwarding/choice.ts'
import { decodeOrigin, encodeOrigin, type ForwardedTarget, type Origin } from '../../src/core/peer-forwarding/message.ts'
import { createRandom } from '../../src/standin/random.ts'
import { createReachingVms, serverId, type ReachingVm, type ReachingVms } from '../support/reaching-vms.ts'

interface ReachabilityWorld {
  fleet: ReachingVms
  vms: { candidates: Candidate[], usable: Set<VmId> }
  chosen: Map<VmId, number>
  received: CallerRequest
}

const service = (name: string) => brandId<ServiceId>(name)
const vm = (world: ReachabilityWorld, number: string): ReachingVm => world.fleet.vms[Number(number) - 1]!
const CHECK_PERIOD_MS = 10

Given(/^(\d+) VMs and the service (\w+) with (\d+) servers?(?:, with (\d+) ms of delay a hop)?$/, function (this: ReachabilityWorld, count: string, name: string, servers: string, delay: string | null) {
  this.fleet = createReachingVms({ count: Number(count), delayMs: Number(delay ?? 1) })
  this.fleet.services.set(service(name), Number(servers))
})

Given(/^the service (\w+) with (\d+) servers$/, function (this: ReachabilityWorld, name: string, servers: string) {
  this.fleet.services.set(service(name), Number(servers))
})

Given(/^(?:all VMs serve|VM (\d+) serves) callers of (\w+)$/, function (this: ReachabilityWorld, number: string | null, name: string) {
  for (const { requested } of number === null ? this.fleet.vms : [vm(this, number)]) requested.add(service(name))
})

Given(/^VM (\d+) is cut off from (\w+) by callers of VM (\d+)$/, async function (this: ReachabilityWorld, number: string, name: string, other: string) {
  vm(this, other).requested.add(service(name))
  vm(this, number).probes.stop()
  await cutOff(this, vm(this, number), service(name))
})

/** Fails often enough, without an effect of the order, and waits for the reports. */
async function cutOff ({ fleet: { clock, services } }: ReachabilityWorld, lost: ReachingVm, name: ServiceId): Promise<void> {
  const { reachability, isLinked } = lost
  lost.isLinked = () => false
  for (let server = 1; server <= Math.max(2, services.get(name)!); server++) reachability.recordConnection(name, serverId(name, Math.min(server, services.get(name)!)), false)
  await clock.advance(1000)
  assert.equal(reachability.isCutOff(name), true)
  lost.isLinked = isLinked
}

When(/^(\d+) ms pass for the VMs$/, async function (this: ReachabilityWorld, ms: string) {
  await this.fleet.clock.advance(Number(ms))
})

When(/^VM (\d+) (connects to|fails at) (\w+) server (\d+)$/, function (this: ReachabilityWorld, number: string, how: string, name: string, server: string) {
  vm(this, number).reachability.recordConnection(service(name), serverId(service(name), Number(server)), how === 'connects to')
})

When(/^(?:all VMs|VM (\d+)) (loses?|reach(?:es)?) (\w+)( except every second server)?$/, function (this: ReachabilityWorld, number: string | null, how: string, name: string, exception: string | null) {
  for (const changed of number === null ? this.fleet.vms : [vm(this, number)]) {
    const { isLinked } = changed
    const isReached = how.startsWith('reach')
    changed.isLinked = (to, server) => to === name ? isReached && !(exception && server % 2 === 0) : isLinked(to, server)
  }
})

Given('the VMs ask each other in doubt', function (this: ReachabilityWorld) {
  for (const asking of this.fleet.vms) asking.isAsking = true
})

When(/^the reports of VM (\d+) (are lost|arrive)$/, function (this: ReachabilityWorld, number: string, how: string) {
  vm(this, number).isReporting = how === 'arrive'
})

When(/^VM (\d+) probes (\w+) with the results (.+)$/, function (this: ReachabilityWorld, number: string, name: string, results: string) {
  for (const result of results.split(' ')) vm(this, number).reachability.recordProbe(service(name), serverId(service(name), Number(result[0])), result[1] === '+')
})

Then(/^VM (\d+) is (not )?cut off from (\w+)$/, function (this: ReachabilityWorld, number: string, not: string | null, name: string) {
  assert.equal(vm(this, number).reachability.isCutOff(service(name)), !not)
  assert.deepEqual(vm(this, number).reachability.lostServices().includes(service(name)), !not)
})

Then(/^VM (\d+) knows that VM (\d+) is (not )?cut off from (\w+)$/, function (this: ReachabilityWorld, number: string, other: string, not: string | null, name: string) {
  assert.equal(vm(this, number).reachability.isVmCutOff(vm(this, other).id, service(name)), !not)
})

Then(/^VM (\d+) has returned(?: (\d+) times?)?$/, function (this: ReachabilityWorld, number: string, times: string | null) {
  const { returns } = vm(this, number)
  assert.ok(times === null ? returns > 0 : returns === Number(times), `${returns} returns`)
})

Then(/^the failures of VM (\d+) at (\w+) are (not )?in doubt$/, function (this: ReachabilityWorld, number: string, name: string, not: string | null) {
  assert.equal(vm(this, number).reachability.isDoubtful(service(name)), !not)
})

Then(/^no VM is cut off from (\w+) in the next (\d+) ms$/, async function (this: ReachabilityWorld, name: string, ms: string) {
  const { clock, vms } = this.fleet
  for (const startMs = clock.now(); clock.now() < startMs + Number(ms);) {
    await clock.advance(CHECK_PERIOD_MS)
    assert.deepEqual(vms.filter(({ reachability }) => reachability.isCutOff(service(name))).map(({ id }) => id), [], `after ${clock.now() - startMs} ms`)
  }
})

Then('the reports are empty', function (this: ReachabilityWorld) {
  assert.deepEqual(this.fleet.vms.map(({ reachability }) => reachability.report()).filter(report => report !== undefined), [])
})

Then(/^no report names VM (\d+) as cut off$/, function (this: ReachabilityWorld, number: string) {
  const { id } = vm(this, number)
  assert.deepEqual(this.fleet.vms.filter(({ reachability }) => reachability.report()?.cutOff?.[id]).map(other => other.id), [])
})

Then(/^VM (\d+), cut off again and again, needs ([\d, ]+) and (\d+) probes to return$/, async function (this: ReachabilityWorld, number: string, first: string, last: string) {
  const expected = [...first.split(', '), last].map(Number)
  const needed: number[] = []
  while (needed.length < expected.length) needed.push(await countProbes(this, vm(this, number)))
  assert.deepEqual(needed, expected)
})

Then(/^after (\d+) s on a good link it needs (\d+) probes$/, async function (this: ReachabilityWorld, seconds: string, probes: string) {
  const { clock, vms: [first] } = this.fleet
  await clock.advance(Number(seconds) * 1000)
  assert.equal(await countProbes(this, first!), Number(probes))
})

/** Cuts the VM off and returns the number of good probes, one each 400 ms, after which it is connected. */
async function countProbes (world: ReachabilityWorld, changed: ReachingVm): Promise<number> {
  const chat = service('chat')
  changed.probes.stop()
  await cutOff(world, changed, chat)
  for (let count = 1; count <= 20; count++) {
    await world.fleet.clock.advance(400)
    changed.reachability.recordProbe(chat, serverId(chat, 1 + count % 4), true)
    if (!changed.reachability.isCutOff(chat)) return count
  }
  return Infinity
}

Then(/^VM (\d+) has probed (?:no server|(\d+) servers evenly, (\d+) to (\d+) times)$/, function (this: ReachabilityWorld, number: string, servers: string | null, min: string | null, max: string | null) {
  if (servers === null) return assert.deepEqual(vm(this, number).probed, [])
  const probed = vm(this, number).probed.filter(({ isCutOff }) => isCutOff).map(({ server }) => server)
  assert.ok(probed.length >= Number(min) && probed.length <= Number(max), `${probed.length} probes`)
  const counts = Array.from({ length: Number(servers) }, (_, index) => probed.filter(server => server === index + 1).length)
  assert.ok(Math.max(...counts) - Math.min(...counts) <= 1, counts.join(' '))
})

When(/^VM (\d+) stops during its second probe$/, async function (this: ReachabilityWorld, number: string) {
  const { probes, probed } = vm(this, number)
  while (probed.filter(({ isCutOff }) => isCutOff).length < 2) await this.fleet.clock.advance(CHECK_PERIOD_MS)
  probes.stop()
})

Then(/^VM (\d+) reports that (\w+) was reached (\d+) ms ago$/, function (this: ReachabilityWorld, number: string, name: string, ms: string) {
  assert.equal(vm(this, number).reachability.report()?.reached?.[service(name)]?.[0], Number(ms))
})

When(/^VM (\d+) learns of (\d+) cut-off VMs, (\d+) ms apart$/, async function (this: ReachabilityWorld, number: string, count: string, gap: string) {
  for (let index = 0; index < Number(count); index++) {
    vm(this, number).reachability.merge({ cutOff: { [`far-${index}`]: [0, ['chat'], 1] } })
    await this.fleet.clock.advance(Number(gap))
  }
})

Then(/^its report names the latest (\d+) of them$/, function (this: ReachabilityWorld, count: string) {
  const named = Object.keys(this.fleet.vms[0]!.reachability.report()!.cutOff!)
  assert.deepEqual(new Set(named), new Set(Array.from({ length: Number(count) }, (_, index) => `far-${99 - index}`)))
})

When(/^VM (\d+) gets the report (.+)$/, function (this: ReachabilityWorld, number: string, report: string) {
  vm(this, number).reachability.merge(JSON.parse(report))
})

Then(/^VM (\d+) reports nothing$/, function (this: ReachabilityWorld, number: string) {
  assert.equal(vm(this, number).reachability.report(), undefined)
  assert.equal(vm(this, number).reachability.isVmCutOff(brandId<VmId>('vm-9')), false)
})

When(/^VM (\d+) hears of (\d+) services that nobody uses, one every (\d+) ms$/, async function (this: ReachabilityWorld, number: string, count: string, gap: string) {
  for (let index = 0; index < Number(count); index++) {
    vm(this, number).reachability.merge({ reached: { [`service-${index}`]: [0, 'vm-9', index] } })
    await this.fleet.clock.advance(Number(gap))
  }
})

Then(/^VM (\d+) keeps at most (\d+) services$/, async function (this: ReachabilityWorld, number: string, most: string) {
  const count = (await vm(this, number).metrics.render()).split('\n').filter(line => /cut_off{/.test(line)).length
  assert.ok(count <= Number(most), `${count} services`)
})

Then(/^the doubt of VM (\d+) about (\w+) is (\d+) ms$/, function (this: ReachabilityWorld, number: string, name: string, ms: string) {
  assert.equal(vm(this, number).reachability.doubtMs(service(name)), Number(ms))
})

Given(/^(\d+) VMs in the own data centre, of which (\d+) others can take requests, and (\d+) VMs elsewhere, of which (\d+) can$/, function (this: ReachabilityWorld, local: string, usable: string, away: string, usableAway: string) {
  const create = (count: string, dataCentre: string) => Array.from({ length: Number(count) }, (_, index) => ({ vm: brandId<VmId>(`${dataCentre}-${index}`), dataCentre: brandId<DataCentreId>(dataCentre) }))
  const [here, elsewhere] = [create(local, 'here'), create(away, 'away')]
  const usableVms = [...here.slice(1, 1 + Number(usable)), ...elsewhere.slice(0, Number(usableAway))]
  // The VM itself must not be chosen although it seems usable.
  this.vms = { candidates: [...here, ...elsewhere], usable: new Set([here[0]!, ...usableVms].map(candidate => candidate.vm)) }
})

When(/^(\d+) requests are handed on$/, function (this: ReachabilityWorld, count: string) {
  const random = createRandom(11)
  const { candidates, usable } = this.vms
  this.chosen = new Map()
  for (let index = 0; index < Number(count); index++) {
    const chosen = choosePeer({ vms: candidates, self: candidates[0]!, isUsable: id => usable.has(id), handedOnTo: id => this.chosen.get(id) ?? 0, random })
    if (chosen) this.chosen.set(chosen.vm, (this.chosen.get(chosen.vm) ?? 0) + 1)
  }
})

Then(/^they go to (?:nobody|(\d+) VMs (here|anywhere), evenly)$/, function (this: ReachabilityWorld, count: string | null, where: string | null) {
  assert.equal(this.chosen.size, Number(count ?? 0))
  if (count === null) return
  assert.ok(where === 'anywhere' || [...this.chosen.keys()].every(id => id.startsWith('here')))
  const counts = [...this.chosen.values()]
  // Even random numbers would differ by far more: the VM with fewer requests is taken.
  assert.ok(Math.max(...counts) - Math.min(...counts) <= 12, counts.join(' '))
})

const KEY = 'key of the links'
const TARGET: ForwardedTarget = { receiver: brandId<VmId>('vm-2'), id: brandId<RequestId>('request-1'), method: 'POST', target: '/order/1' }
const ORIGIN: Origin = { vm: brandId<VmId>('vm-1'), remainingMs: 1200, attempts: 1, maxAttempts: 2, configVersion: 7, lastEventId: 3, model: brandId<ModelId>('small') }

Then('a statement with all fields, and one with the required ones, are read as they were made', function () {
  const { lastEventId: _event, model: _model, ...required } = ORIGIN
  assert.deepEqual(decodeOrigin(encodeOrigin(ORIGIN, TARGET, KEY), TARGET, [KEY]), ORIGIN)
  assert.deepEqual({ ...decodeOrigin(encodeOrigin(required, TARGET, KEY), TARGET, [KEY]) }, { ...required, model: undefined })
  const anonymous = { ...TARGET, id: undefined }
  assert.deepEqual(decodeOrigin(encodeOrigin(ORIGIN, anonymous, KEY), anonymous, [KEY]), ORIGIN)
})

Then('one that was made with the previous key is read', function () {
  assert.deepEqual(decodeOrigin(encodeOrigin(ORIGIN, TARGET, 'previous'), TARGET, [KEY, 'previous']), ORIGIN)
})

/** Signs any text as a VM would. */
function sign (text: string): string {
  const encoded = Buffer.from(text).toString('base64url')
  const { receiver, id, method, target } = TARGET
  return `${encoded}.${createHmac('sha256', KEY).update(JSON.stringify([encoded, receiver, id, method, target])).digest('base64url')}`
}

const STATED = { format: 1, ...ORIGIN }
const VALUE = encodeOrigin(ORIGIN, TARGET, KEY)

const FAULTY: Record<string, () => Origin | undefined> = {
  'with a changed field' () {
    const [text = '', mac] = VALUE.split('.')
    const changed = Buffer.from(JSON.stringify({ ...JSON.parse(Buffer.from(text, 'base64url').toString()), remainingMs: 9000 })).toString('base64url')
    return decodeOrigin(`${changed}.${mac}`, TARGET, [KEY])
  },
  'for another receiver': () => decodeOrigin(VALUE, { ...TARGET, receiver: brandId<VmId>('vm-3') }, [KEY]),
  'for another request id': () => decodeOrigin(VALUE, { ...TARGET, id: brandId<RequestId>('request-2') }, [KEY]),
  'for another method': () => decodeOrigin(VALUE, { ...TARGET, method: 'GET' }, [KEY]),
  'for another target': () => decodeOrigin(VALUE, { ...TARGET, target: '/order/2' }, [KEY]),
  'with an unknown key': () => decodeOrigin(VALUE, TARGET, ['another key']),
  'without keys at the receiver': () => decodeOrigin(VALUE, TARGET, []),
  'with an HMAC that is cut short': () => decodeOrigin(VALUE.slice(0, -4), TARGET, [KEY]),
  'without an HMAC': () => decodeOrigin(VALUE.split('.')[0]!, TARGET, [KEY]),
  'with a further part': () => decodeOrigin(`${VALUE}.more`, TARGET, [KEY]),
  'of another format': () => decodeOrigin(sign(JSON.stringify({ ...STATED, format: 2 })), TARGET, [KEY]),
  'with negative time left': () => decodeOrigin(sign(JSON.stringify({ ...STATED, remainingMs: -1 })), TARGET, [KEY]),
  'that is no JSON': () => decodeOrigin(sign('{'), TARGET, [KEY]),
  'that is empty': () => decodeOrigin('', TARGET, [KEY]),
  'that is garbage': () => decodeOrigin('\u0000..%%%', TARGET, [KEY]),
  'that is too long': () => decodeOrigin(sign(JSON.stringify({ ...STATED, model: 'm'.repeat(4000) })), TARGET, [KEY])
}

Then(new RegExp(`^a statement (${Object.keys(FAULTY).join('|')}) is refused$`), function (fault: string) {
  // What is signed the same way without a fault is read, so that the fault is the reason.
  assert.deepEqual(decodeOrigin(sign(JSON.stringify(STATED)), TARGET, [KEY]), ORIGIN)
  assert.equal(FAULTY[fault]!(), undefined)
})

function createPeers (self: VmId) {
  return createPeerForwarding({
    self: { vm: self, dataCentre: brandId<DataCentreId>('here') }, vms: () => [], isCutOff: () => false, mayServe: () => true, addressOf: () => undefined, keys: () => [KEY], connect: async () => undefined, metrics: createMetrics(), random: () => 0
  })
}

/** Names and values in turn. */
const parseHeaders = (text: string) => text.split('; ').flatMap(line => line.split(': '))

When(/^a VM hands on a request with (.+) of the caller$/, function (this: ReachabilityWorld, headers: string) {
  const { vm: sender, ...stated } = ORIGIN
  const { id, method, target, receiver } = TARGET
  const request = { id, method, target, rawHeaders: parseHeaders(headers), headers: [] } as unknown as CallerRequest
  const sent = createPeers(sender).encodeHeaders(request, receiver, stated, 0)
  this.received = createPeers(receiver).receive({ ...request, headers: sent }, sent)
})

Then(/^the receiver reads the statement, and sees (.+) of the caller$/, function (this: ReachabilityWorld, headers: string) {
  assert.deepEqual(this.received.origin, ORIGIN)
  assert.deepEqual(this.received.headers.slice(0, -2), parseHeaders(headers))
  assert.deepEqual(this.received.headers.slice(-2), ['Content-Length', '0'])
})
