/** Streams that a crash or a partition ends, with the control connection that tells one from the other, without a network. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { Backend } from '../../src/core/backend-pool/types.ts'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import { createCrashEvidence, type CrashEvidence } from '../../src/core/forwarding/crash-evidence.ts'
import type { CallerRequest } from '../../src/core/forwarding/types.ts'
import { brandId, type BackendServerId, type RequestId, type ServiceId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createPartQuarantine, type PartQuarantine } from '../../src/core/quarantine/request-parts.ts'
import { createControl, type Control } from '../../src/core/reachability/control.ts'

interface CrashWorld {
  clock: ManualClock
  quarantine: PartQuarantine
  control: Control
  backends: Backend[]
  /** Backend servers that refuse connections of the VM. */
  refusing: Set<Backend>
  /** Called before each control connection. */
  onControl: () => void
  controls: { total: number, open: number, mostOpen: number }
  streams: number
}

const CHAT = brandId<ServiceId>('chat')

Given(/^a VM with streams of one prompt part at each of (\d+) servers$/, function (this: CrashWorld, servers: string) {
  this.clock = createManualClock({ startMs: 10_000 })
  this.quarantine = createPartQuarantine({ clock: this.clock, log: silentLog, metrics: createMetrics() })
  this.backends = Array.from({ length: Number(servers) }, (_, index) => ({ entry: { id: brandId<BackendServerId>(`server-${index}`), service: CHAT, startedWallMs: 1 } }) as Backend)
  this.refusing = new Set()
  this.onControl = () => {}
  this.controls = { total: 0, open: 0, mostOpen: 0 }
  this.streams = 0
  this.control = createControl({
    backendServers: () => this.backends,
    connect: async backend => {
      this.onControl()
      this.controls.total++
      this.controls.mostOpen = Math.max(this.controls.mostOpen, ++this.controls.open)
      await this.clock.sleep(5)
      this.controls.open--
      return !this.refusing.has(backend)
    },
    clock: this.clock,
    // The servers that have crashed are asked first.
    random: () => 0
  })
})

function evidenceOf (world: CrashWorld): CrashEvidence {
  const own = `own-${world.streams++}`
  const request = { id: brandId<RequestId>(own), method: 'POST', host: 'desk.example', target: `/dossier/${own}`, prompt: [{ id: 'shared', tokens: 1 }, { id: own, tokens: 1 }] } as unknown as CallerRequest
  return createCrashEvidence({ request, team: undefined, body: undefined }, {
    quarantine: world.quarantine, hasEnded: async backend => world.refusing.has(backend), reachesService: world.control.reachesService, log: { ...silentLog, request () {} }
  })
}

/** Ends streams of the servers at the same time, and lets more time pass than crashes need to be told apart. */
async function reset (world: CrashWorld, backends: readonly Backend[]): Promise<void> {
  const recorded = Promise.all(backends.map(async backend => await evidenceOf(world).recordLostResponse(backend)))
  await world.clock.advance(2000)
  await recorded
}

When(/^all streams are reset and (.+)$/, async function (this: CrashWorld, what: string) {
  const { backends, refusing } = this
  const oneByOne = /^those to (\d+) servers are refused one by one$/.exec(what)
  if (oneByOne) {
    for (const backend of backends.slice(0, Number(oneByOne[1]))) {
      refusing.add(backend)
      await reset(this, [backend])
    }
    return
  }
  const isAll = what.startsWith('all')
  for (const backend of isAll ? backends : []) refusing.add(backend)
  if (what.endsWith('until the control')) this.onControl = () => { refusing.clear() }
  const rounds = what.endsWith('again and again') ? 3 : 1
  for (let round = 0; round < rounds; round++) await reset(this, backends)
})

Then(/^(no part|the part) is in quarantine$/, function (this: CrashWorld, what: string) {
  assert.equal(evidenceOf(this).remainingMs() > 0, what === 'the part')
  if (what === 'no part') assert.equal(this.quarantine.recentEvidence(), undefined)
})

When(/^(\d+) streams of the first server are reset and it alone refuses connections$/, async function (this: CrashWorld, streams: string) {
  this.refusing.add(this.backends[0]!)
  await reset(this, Array.from({ length: Number(streams) }, () => this.backends[0]!))
})

Then(/^there is (\d+) control connection$/, function (this: CrashWorld, count: string) {
  assert.equal(this.controls.total, Number(count))
  assert.notEqual(this.quarantine.recentEvidence(), undefined)
})

When(/^the streams of (\d+) servers are reset and these refuse connections$/, async function (this: CrashWorld, down: string) {
  const broken = this.backends.slice(0, Number(down))
  for (const backend of broken) this.refusing.add(backend)
  await reset(this, broken)
})

Then(/^(each|no) crash is recorded, with at most (\d+) control connections, one at a time$/, function (this: CrashWorld, which: string, most: string) {
  const crashes = this.quarantine.recentEvidence()?.crashes ?? []
  assert.deepEqual(new Set(crashes.map(({ backendServer }) => backendServer)), new Set(which === 'each' ? [...this.refusing].map(({ entry }) => entry.id) : []))
  assert.ok(this.controls.total <= Number(most) && this.controls.mostOpen === 1, JSON.stringify(this.controls))
})
