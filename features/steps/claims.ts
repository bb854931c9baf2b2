import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { claimName, createClaims, type ClaimRequest, type Claims, type ClaimSpec, type HeldClaim } from '../../src/core/claims/index.ts'
import { createManualClock } from '../../src/core/clock/index.ts'
import { ClaimError } from '../../src/core/errors/index.ts'
import { brandId, randomId, type BootId, type RequestId, type TeamId, type VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createFakeRegion } from '../support/fakes.ts'
import { createFakeStore, type StoreFault } from '../support/fake-store.ts'

const TEAM = brandId<TeamId>('school')
const ANSWER = { status: 201, contentType: 'application/json', body: '{}' }
const SEED = 20261204

interface VmClaims {
  claims: Claims
  member: ReturnType<ReturnType<typeof createFakeRegion>['join']>
}

function createWorld () {
  const clock = createManualClock()
  const store = createFakeStore()
  const region = createFakeRegion()
  const vms = new Map<string, VmClaims>()

  /** Starts or restarts a VM. A restarted VM has a new boot id and none of its earlier claims. */
  function start (vm: string): void {
    vms.get(vm)?.claims.stop()
    const member = region.join(brandId<VmId>(vm))
    member.member.boot = randomId<BootId>('boot')
    const { boot, region: regionId, dataCentre } = member.member
    const claims = createClaims({
      identity: { vm: member.member.vm, boot, region: regionId, dataCentre },
      objectApi: store.objectApi,
      membership: member.membership,
      clock,
      metrics: createMetrics(),
      log: silentLog
    })
    vms.set(vm, { claims, member })
  }

  function requestClaim (vm: string, key: string, { fingerprint = 'same', request: id = randomId<RequestId>('req') } = {}): Promise<{ outcome: string, claim?: HeldClaim }> {
    const request: ClaimRequest = { team: TEAM, idempotencyKey: key, request: id, fingerprint, deadline: clock.now() + 60_000 }
    return vms.get(vm)!.claims.acquire(request).then(
      result => ({ outcome: result.state, claim: result.state === 'acquired' ? result.claim : undefined }),
      (error: unknown) => {
        if (error instanceof ClaimError) return { outcome: error.kind }
        throw error
      }
    )
  }

  function storedClaim (key: string): ClaimSpec {
    return store.objects.get(`Claim/${claimName(TEAM, key)}`)!.spec as ClaimSpec
  }

  return { clock, store, region, vms, start, requestClaim, storedClaim }
}

interface ClaimsWorld {
  claimsWorld: ReturnType<typeof createWorld>
  outcomes: string[]
  held: HeldClaim
  checkResult: { failed: boolean, counterexample: unknown }
}

After({ tags: '@claims' }, async function (this: ClaimsWorld) {
  for (const { claims } of this.claimsWorld?.vms.values() ?? []) await claims.stop()
})

Given('claims of the VMs {string}', function (this: ClaimsWorld, names: string) {
  this.claimsWorld = createWorld()
  for (const name of names.split(', ')) this.claimsWorld.start(name)
})

Given('the next claim store write has the fault {string}', function (this: ClaimsWorld, fault: StoreFault) {
  this.claimsWorld.store.nextWrites.push(fault)
})

Given('the claim of key {string} is held by {string}', async function (this: ClaimsWorld, key: string, vm: string) {
  const { claim } = await this.claimsWorld.requestClaim(vm, key)
  assert.ok(claim)
  assert.ok(claim.maySend())
  this.held = claim
})

const OWNER_EVENTS: Record<string, (world: ClaimsWorld, vm: string) => Promise<void> | void> = {
  'is still running the call' () {},
  dies: ({ claimsWorld }, vm) => claimsWorld.region.kill(brandId<VmId>(vm)),
  restarts: ({ claimsWorld }, vm) => claimsWorld.start(vm),
  'loses the answer': ({ held }) => held.markUnknown(),
  completes: ({ held }) => held.complete(ANSWER),
  'did not send': ({ held }) => held.markNotRun(),
  'did not send while the store is down' ({ claimsWorld, held }) {
    claimsWorld.store.nextWrites.push('down')
    return held.markNotRun()
  },
  'completes while the store is down' ({ claimsWorld, held }) {
    claimsWorld.store.nextWrites.push('down')
    return held.complete(ANSWER)
  }
}

When(/^the claim owner "(.*)" (.*)$/, async function (this: ClaimsWorld, vm: string, event: string) {
  await OWNER_EVENTS[event]!(this, vm)
})

When('a claim of key {string} is requested on all VMs concurrently', async function (this: ClaimsWorld, key: string) {
  const answers = [...this.claimsWorld.vms.keys()].map(vm => this.claimsWorld.requestClaim(vm, key))
  this.outcomes = (await Promise.all(answers)).map(answer => answer.outcome).sort()
})

When('a claim of key {string} is requested on {string}', async function (this: ClaimsWorld, key: string, vm: string) {
  this.outcomes = [(await this.claimsWorld.requestClaim(vm, key)).outcome]
})

When('a claim of key {string} for another request is requested on {string}', async function (this: ClaimsWorld, key: string, vm: string) {
  this.outcomes = [(await this.claimsWorld.requestClaim(vm, key, { fingerprint: 'other' })).outcome]
})

When('the claim of key {string} is requested again by its first request on {string}', async function (this: ClaimsWorld, key: string, vm: string) {
  const { request } = this.claimsWorld.storedClaim(key)
  this.outcomes = [(await this.claimsWorld.requestClaim(vm, key, { request })).outcome]
})

When('the claim store performs the delayed writes', function (this: ClaimsWorld) {
  this.claimsWorld.store.performDelayed()
})

When('the claims have {int} ms to reconcile', { timeout: 60_000 }, async function (this: ClaimsWorld, ms: number) {
  await this.claimsWorld.clock.advance(ms)
})

Then('the claim outcome(s) is/are {string}', function (this: ClaimsWorld, outcomes: string) {
  assert.deepEqual(this.outcomes, outcomes.split(', '))
})

Then('the stored claim of key {string} has attempt {int}', function (this: ClaimsWorld, key: string, attempt: number) {
  assert.equal(this.claimsWorld.storedClaim(key).attempt, attempt)
})

Then('the stored claim of key {string} belongs to {string}', function (this: ClaimsWorld, key: string, vm: string) {
  assert.equal(this.claimsWorld.storedClaim(key).owner, vm)
})

Then('the claim of key {string} no longer allows a send', function (this: ClaimsWorld, key: string) {
  assert.equal(this.claimsWorld.storedClaim(key).state, 'dispatched')
  assert.equal(this.held.maySend(), false)
})

Then('the stored claims are those of {string}', function (this: ClaimsWorld, keys: string) {
  const names = [...this.claimsWorld.store.objects.keys()]
  assert.deepEqual(names, keys.split(', ').map(key => `Claim/${claimName(TEAM, key)}`))
})

/** A holder sends if its claim allows it, unless the ending is 'not sent'. After 'pause' it records no outcome. */
type Step =
  | { action: 'request', vm: string, fault: StoreFault }
  | { action: 'end', ending: 'complete' | 'not sent' | 'unknown' | 'pause', fault: StoreFault }
  | { action: 'restart' | 'kill', vm: string }
  | { action: 'performDelayed' | 'wait' }

const arbitraryVm = fc.constantFrom('vm-1', 'vm-2', 'vm-3')
const arbitraryFault = fc.constantFrom<StoreFault>('none', 'none', 'none', 'down', 'lost answer', 'delayed write', 'lost write')
const arbitraryStep: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ action: fc.constant('request' as const), vm: arbitraryVm, fault: arbitraryFault }) },
  { weight: 3, arbitrary: fc.record({ action: fc.constant('end' as const), ending: fc.constantFrom('complete' as const, 'not sent' as const, 'unknown' as const, 'pause' as const), fault: arbitraryFault }) },
  fc.record({ action: fc.constantFrom('restart' as const, 'kill' as const), vm: arbitraryVm }),
  fc.record({ action: fc.constantFrom('performDelayed' as const, 'wait' as const) })
)

/** Executes one sequence of steps on a single key and returns how often the call ran; each holder sends at most once. */
async function countRuns (steps: Step[]): Promise<number> {
  const world = createWorld()
  for (const vm of ['vm-1', 'vm-2', 'vm-3']) world.start(vm)
  let held: HeldClaim[] = []
  let runs = 0
  for (const step of steps) {
    if (step.action === 'request') {
      world.store.nextWrites = [step.fault]
      const { claim } = await world.requestClaim(step.vm, 'k')
      if (claim) held.push(claim)
    } else if (step.action === 'end') {
      const claim = held.shift()
      if (!claim) continue
      world.store.nextWrites = [step.fault]
      if (step.ending === 'not sent') await claim.markNotRun()
      else if (claim.maySend()) runs++
      if (step.ending === 'complete') await claim.complete(ANSWER)
      if (step.ending === 'unknown') await claim.markUnknown()
    } else if (step.action === 'restart') world.start(step.vm)
    else if (step.action === 'kill') world.region.kill(brandId<VmId>(step.vm))
    else if (step.action === 'performDelayed') world.store.performDelayed()
    else await world.clock.advance(1500)
    world.store.nextWrites = []
  }
  // Holders that have not sent yet do so at the end if their claim allows it.
  for (const claim of held) if (claim.maySend()) runs++
  held = []
  return runs
}

When('claims are tested with {int} random histories of 3 VMs', { timeout: 60_000 }, async function (this: ClaimsWorld, runs: number) {
  console.log(`claims seed ${SEED}`)
  const property = fc.asyncProperty(fc.array(arbitraryStep, { minLength: 4, maxLength: 14 }), async steps => await countRuns(steps) <= 1)
  this.checkResult = await fc.check(property, { seed: SEED, numRuns: runs })
})

Then('no claim history ran a call twice', function (this: ClaimsWorld) {
  assert.equal(this.checkResult.failed, false, JSON.stringify(this.checkResult.counterexample))
})
