import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { createMemoryObjectApi } from '../../src/bench/memory-object-api.ts'
import { createMemoryConfig, type MemoryConfig } from '../../src/bench/memory-config.ts'
import { createRandom } from '../../src/bench/random.ts'
import { createCascade } from '../../src/core/cascade/index.ts'
import { createManualClock } from '../../src/core/clock/index.ts'
import type { Contract } from '../../src/core/config/types.ts'
import { LacewingError } from '../../src/core/errors/index.ts'
import { brandId, type ModelId, type TeamId, type VersionId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createVersionRouter, type VersionChoiceRequest, type VersionRouter } from '../../src/core/routing/index.ts'
import { createSessions } from '../../src/core/session/index.ts'

const SEED = 20261204
const TEAM = brandId<TeamId>('kits')
const PRICES = { inputMicrosPerToken: 1, outputMicrosPerToken: 1 }

interface VersionChoiceWorld {
  config: MemoryConfig
  router: VersionRouter
  contract: Contract
  result: string
}

function createRouter ({ view }: MemoryConfig): VersionRouter {
  const common = { view, clock: createManualClock(), metrics: createMetrics(), log: silentLog }
  const random = createRandom(SEED)
  const sessions = createSessions({ ...common, objectApi: createMemoryObjectApi(), tokenKeys: () => ['0123456789abcdef'], random })
  return createVersionRouter({ ...common, sessions, cascade: createCascade({ random }) })
}

function setContract (world: Pick<VersionChoiceWorld, 'config' | 'contract'>, changes: object): void {
  const keys = [{ sha256: '0'.repeat(64) }]
  world.config.set('Contract', TEAM, { team: TEAM, keys, models: ['kit-small', 'kit-large', 'idle', 'other'], spendLimitMicros: 1, ...changes })
  world.contract = world.config.view.get('Contract', TEAM)!
}

Given('version choice between the models of one alias', function (this: VersionChoiceWorld) {
  this.config = createMemoryConfig()
  this.config.set('Model', 'kit-small', { alias: 'kit', tier: 0, contextTokens: 1000 })
  this.config.set('Model', 'kit-large', { alias: 'kit', tier: 1, contextTokens: 8000 })
  for (const model of ['idle', 'other', 'foreign']) this.config.set('Model', model, {})
  this.config.set('Version', 'small-1', { model: 'kit-small', priorQuality: 0.9, ...PRICES })
  this.config.set('Version', 'large-1', { model: 'kit-large', priorQuality: 0.95, inputMicrosPerToken: 10, outputMicrosPerToken: 10 })
  this.config.set('Version', 'idle-1', { model: 'idle', state: 'withdrawn', ...PRICES })
  this.config.set('Version', 'other-2', { model: 'other', ...PRICES })
  this.config.set('Version', 'foreign-1', { model: 'foreign', ...PRICES })
  setContract(this, { versions: ['small-1', 'large-1', 'idle-1'] })
  this.router = createRouter(this.config)
})

When(/^version choice is asked for (.+)$/, async function (this: VersionChoiceWorld, requestName: string) {
  const requests: Record<string, Partial<VersionChoiceRequest> & { model: ModelId }> = {
    'a model that does not exist': { model: brandId('none') },
    'a model outside the contract': { model: brandId('foreign') },
    'a model whose versions are withdrawn': { model: brandId('idle') },
    'a model with no version in the contract': { model: brandId('other') },
    'a prompt larger than every context window': { model: brandId('kit'), promptTokens: 9000 },
    'a tier above the most expensive': { model: brandId('kit'), tried: [brandId('small-1'), brandId('large-1')] },
    'the alias': { model: brandId('kit') },
    "a prompt larger than the cheap tier's window": { model: brandId('kit'), promptTokens: 2000 },
    'the alias after the cheap tier was tried': { model: brandId('kit'), tried: [brandId('small-1')] },
    'the expensive model by name': { model: brandId('kit-large') },
    'the alias when the cheap version is withdrawn': { model: brandId('kit') }
  }
  if (requestName.includes('withdrawn')) this.config.set('Version', 'small-1', { model: 'kit-small', state: 'withdrawn', ...PRICES })
  const request = { contract: this.contract, promptTokens: 100, requestClass: 'teacher', tried: [], ...requests[requestName]! }
  this.result = await this.router.choose(request).then(choice => choice.version, (error: LacewingError) => error.kind)
})

When(/^version choice meets that (.+)$/, function (this: VersionChoiceWorld, event: string) {
  const previousContract = this.contract
  const events: Record<string, () => void> = {
    'nothing changed': () => {},
    'the version is withdrawn': () => this.config.set('Version', 'small-1', { model: 'kit-small', state: 'withdrawn', ...PRICES }),
    'the contract drops the model': () => setContract(this, { models: ['kit-large'] }),
    'the contract lists other versions': () => setContract(this, { versions: ['large-1'] }),
    'the contract is deleted': () => {
      const { resourceVersion } = this.config.view.entry('Contract', TEAM)!
      void this.config.change({ kind: 'Contract', name: TEAM, spec: null, resourceVersion })
    }
  }
  events[event]!()
  this.contract = previousContract
})

Then('version choice returns {string}', function (this: VersionChoiceWorld, expected: string) {
  assert.equal(this.result, expected)
})

Then(/^version choice is permitted: (yes|no)$/, function (this: VersionChoiceWorld, permitted: string) {
  assert.equal(this.router.isStillPermitted(this.contract, brandId<VersionId>(this.result)), permitted === 'yes')
})

Then('version choice only returns versions that the contract permits', async function () {
  console.log(`version choice property seed ${SEED}`)
  const models = ['m0', 'm1', 'm2']
  const version = fc.record({ model: fc.constantFrom(...models), withdrawn: fc.boolean(), weight: fc.constantFrom(0, 0.5, 1) })
  const input = fc.record({
    versions: fc.array(version, { maxLength: 8 }),
    models: fc.subarray(models, { minLength: 1 }),
    allowed: fc.option(fc.subarray(['v0', 'v1', 'v2', 'v3', 'v4', 'v5', 'v6', 'v7'])),
    session: fc.option(fc.constantFrom('s1', 's2'))
  })
  await fc.assert(fc.asyncProperty(input, async ({ versions, models: permitted, allowed, session }) => {
    const world = { config: createMemoryConfig() } as VersionChoiceWorld
    models.forEach((model, tier) => world.config.set('Model', model, { alias: 'any', tier }))
    versions.forEach(({ model, withdrawn, weight }, index) =>
      world.config.set('Version', `v${index}`, { model, weight, state: withdrawn ? 'withdrawn' : 'active', ...PRICES }))
    setContract(world, { models: permitted, ...allowed && { versions: allowed } })
    const request = { contract: world.contract, model: brandId<ModelId>('any'), promptTokens: 1, requestClass: '', tried: [], ...session && { session: brandId<never>(session) } }
    const choice = await createRouter(world.config).choose(request).catch((error: LacewingError) => error.kind)
    const permittedVersions = versions.flatMap(({ model, withdrawn }, index) =>
      !withdrawn && permitted.includes(model) && (!allowed || allowed.includes(`v${index}`)) ? [`v${index}`] : [])
    if (typeof choice === 'string') assert.ok(permittedVersions.length === 0 && choice === 'no_permitted_version', choice)
    else assert.ok(permittedVersions.includes(choice.version))
  }), { seed: SEED, numRuns: 100 })
})
