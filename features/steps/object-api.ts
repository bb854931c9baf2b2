import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { systemClock } from '../../src/core/clock/index.ts'
import { LacewingError } from '../../src/core/errors/index.ts'
import { createMetrics, type Metrics } from '../../src/core/metrics/index.ts'
import { createObjectApi, type ObjectApiClient, type WatchEvent } from '../../src/core/object-api/index.ts'
import { startObjectApiServer, type ObjectApiServer } from '../../src/standin/object-api/index.ts'
import { startCopyingServer, type CopyingServer, type CopyMoment } from '../support/copying-server.ts'

const TIMEOUT_MS = 250
const ORIGINAL = { text: 'original' }
const WRITTEN = { text: 'written' }
const OTHER = { text: 'other' }

type Operation = 'create' | 'update' | 'delete'

interface ObjectApiWorld {
  objectApiServer: ObjectApiServer
  metrics: Metrics
  objectApiClient: ObjectApiClient
  /** Second client, for changes by another writer. */
  otherClient: ObjectApiClient
  version: number
  events: WatchEvent[]
  /** Runs concurrently with the write, which the server holds back. */
  meanwhile?: () => Promise<void>
  /** Whether the server performs the held write only after the client has reported an outcome. */
  releaseAfterwards?: boolean
  writesBefore: number
  outcome: unknown
  copyingServer: CopyingServer
  readNames: string[]
}

function createClient (url: string, metrics: Metrics): ObjectApiClient {
  return createObjectApi({ url, timeoutMs: TIMEOUT_MS, clock: systemClock, metrics, watchIdleMs: 400 })
}

async function outcomeOf (run: () => Promise<unknown>): Promise<string> {
  try {
    await run()
    return 'success'
  } catch (error) {
    return error instanceof LacewingError ? error.kind : String(error)
  }
}

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await systemClock.sleep(5)
}

Given('an object API that contains Model\\/m', async function (this: ObjectApiWorld) {
  this.objectApiServer = await startObjectApiServer({ port: 0, bookmarkMs: 100 })
  this.metrics = createMetrics()
  this.objectApiClient = createClient(this.objectApiServer.url, this.metrics)
  this.otherClient = createClient(this.objectApiServer.url, createMetrics())
  // Advances the version counter, so that the version before that of Model/m is valid.
  await this.otherClient.create('Service', 's', ORIGINAL)
  const created = await this.otherClient.create('Model', 'm', ORIGINAL)
  this.version = created.resourceVersion
})

After({ tags: '@object-api' }, async function (this: Partial<ObjectApiWorld>) {
  await this.objectApiServer?.close()
  await this.copyingServer?.close()
})

Given('an object API fault: {} on {}', async function (this: ObjectApiWorld, fault: string, operation: Operation) {
  const { control } = this.objectApiServer
  if (operation === 'create') await this.otherClient.delete('Model', 'm', this.version)
  const readsBefore = control.counters().reads
  if (fault === 'response dropped') return control.dropAnswers(1)
  control.holdWrites(1)
  if (fault === 'write delayed until after the call') this.releaseAfterwards = true
  if (fault === 'write delayed until after a read') {
    this.meanwhile = async () => {
      await until(() => control.counters().reads > readsBefore)
      control.releaseHeld()
    }
  }
  if (fault === 'write delayed until after another write') {
    this.meanwhile = async () => {
      await until(() => control.heldWrites() === 1)
      if (operation === 'create') await this.otherClient.create('Model', 'm', OTHER)
      else await this.otherClient.update('Model', 'm', OTHER, this.version)
    }
    this.releaseAfterwards = true
  }
})

function send ({ objectApiClient: client, version }: ObjectApiWorld, operation: Operation, spec: unknown = WRITTEN): Promise<unknown> {
  if (operation === 'create') return client.create('Model', 'm', spec)
  if (operation === 'update') return client.update('Model', 'm', spec, version)
  return client.delete('Model', 'm', version)
}

When(/^the object API client sends a (create|update|delete)$/, async function (this: ObjectApiWorld, operation: Operation) {
  const meanwhile = this.meanwhile?.()
  this.outcome = await outcomeOf(() => send(this, operation))
  await meanwhile
  if (this.releaseAfterwards) this.objectApiServer.control.releaseHeld()
})

When('the object API client sends a {word} that is refused because of {}', async function (this: ObjectApiWorld, operation: Operation, cause: string) {
  if (cause === 'an old version') this.version -= 1
  if (cause === 'a closed port') this.objectApiClient = createClient('http://127.0.0.1:1', this.metrics)
  const spec = cause === 'a value above 1 MB' ? 'x'.repeat(1_048_577) : WRITTEN
  this.outcome = await outcomeOf(() => send(this, operation, spec))
})

Then('the object API client reports {word}', function (this: ObjectApiWorld, outcome: string) {
  assert.equal(this.outcome, outcome)
})

Then('in the end Model\\/m in the object API is {word}', async function (this: ObjectApiWorld, state: string) {
  const stored = await this.otherClient.list<{ text: string }>('Model')
  assert.equal(stored.items[0]?.spec.text ?? 'absent', state)
})

Given('an object API outage that a read has detected', async function (this: ObjectApiWorld) {
  this.writesBefore = this.objectApiServer.control.counters().writes
  this.objectApiServer.control.outage('refuse')
  assert.equal(await outcomeOf(() => this.objectApiClient.get('Model', 'm')), 'object_api_unavailable')
})

Given('an object API that hangs', function (this: ObjectApiWorld) {
  this.objectApiServer.control.outage('hang')
})

Then('the object API received no write during the outage', function (this: ObjectApiWorld) {
  assert.equal(this.objectApiServer.control.counters().writes, this.writesBefore)
})

Then('the object API client counted {int} retries of the read', function (this: ObjectApiWorld, count: number) {
  assert.equal(this.metrics.value('retries', 'object_api_read'), count)
})

async function collect (world: ObjectApiWorld, from: number, signal: AbortSignal): Promise<void> {
  world.events = []
  for await (const event of world.objectApiClient.watch(['Model', 'Version'], from, signal)) world.events.push(event)
}

When('an object API watch of Model and Version sees a create, an update and a delete', async function (this: ObjectApiWorld) {
  const stop = new AbortController()
  const changes = () => this.events.filter(event => event.type !== 'BOOKMARK').length
  const watching = collect(this, this.version, stop.signal)
  const { resourceVersion } = await this.otherClient.create('Version', 'v', ORIGINAL)
  await until(() => changes() === 1)
  await this.otherClient.update('Model', 'm', OTHER, this.version)
  await until(() => changes() === 2)
  await this.otherClient.delete('Version', 'v', resourceVersion)
  await until(() => changes() === 3)
  stop.abort()
  await watching
})

Then('the object API watch delivered {string} and a bookmark of each kind', function (this: ObjectApiWorld, expected: string) {
  const changes = this.events.filter(event => event.type !== 'BOOKMARK')
  assert.equal(changes.map(({ type, object }) => `${type} ${object.kind}/${object.name}`).join(', '), expected)
  const bookmarks = this.events.filter(event => event.type === 'BOOKMARK').map(event => event.object.kind)
  assert.deepEqual([...new Set(bookmarks)].sort(), ['Model', 'Version'])
})

When('an object API watch encounters {}', async function (this: ObjectApiWorld, cause: string) {
  const { control } = this.objectApiServer
  const from = cause === 'a compacted start version' ? this.version - 1 : this.version
  if (cause === 'a compacted start version') control.compact()
  const watching = outcomeOf(() => collect(this, from, new AbortController().signal))
  if (cause !== 'a compacted start version') await until(() => control.counters().waitingWatches === 2)
  if (cause === 'a cut connection') control.cutWatches()
  if (cause === 'a silent server') control.outage('hang')
  this.outcome = await watching
})

Then('the object API watch ends with {}', function (this: ObjectApiWorld, result: string) {
  assert.equal(this.outcome, result === 'no error' ? 'success' : result)
})

const modelJson = (name: string) => JSON.stringify({ kind: 'Model', metadata: { name, resourceVersion: '4' }, spec: ORIGINAL })

Given(/^an object API that sends a second answer (.*)$/, async function (this: ObjectApiWorld, moment: CopyMoment) {
  const answer = (requestLine: string) => modelJson(/\/(\w+) HTTP/.exec(requestLine)![1]!)
  this.copyingServer = await startCopyingServer({ moment, answer, copy: modelJson('copy') })
  this.objectApiClient = createClient(`http://${this.copyingServer.address}`, createMetrics())
})

When('the object API client reads Model\\/m and then Model\\/n', async function (this: ObjectApiWorld) {
  const first = await this.objectApiClient.get('Model', 'm')
  await this.copyingServer.untilNextRequest()
  this.readNames = [first.name, (await this.objectApiClient.get('Model', 'n')).name]
})

Then('the object API client has got Model\\/m and Model\\/n', function (this: ObjectApiWorld) {
  assert.deepEqual(this.readNames, ['m', 'n'])
  assert.equal(new Set(this.copyingServer.connections).size, 2)
})
