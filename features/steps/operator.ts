import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import Hapi, { type Server } from '@hapi/hapi'
import { Given, Then, When, type DataTable } from '@cucumber/cucumber'
import { createManualClock } from '../../src/core/clock/index.ts'
import { createConfigController, createConfigReplica, type ConfigReplica } from '../../src/core/config/index.ts'
import { brandId, type BootId, type DataCentreId, type RegionId, type VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createOperatorAuthenticator, registerOperatorRoutes } from '../../src/core/operator/index.ts'
import { createMemoryObjectApi, type MemoryObjectApi } from '../support/memory-object-api.ts'
import { createMemberList, createPeerHub } from '../support/vms.ts'

const NOW_WALL_MS = 1_000_000
const identity = {
  vm: brandId<VmId>('a1'), boot: brandId<BootId>('boot'), region: brandId<RegionId>('bagmati'), dataCentre: brandId<DataCentreId>('bag-a')
}

interface OperatorWorld {
  api: MemoryObjectApi
  operatorServer: Server
  replica: ConfigReplica
  answer: { statusCode: number, payload: string }
}

interface OperatorCall {
  method: string
  path: string
  caller?: string
  ifMatch?: string
  body?: string
  address?: string
}

function hashOf (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}

async function startOperatorServer (world: OperatorWorld): Promise<void> {
  const clock = createManualClock({ wallStartMs: NOW_WALL_MS })
  const metrics = createMetrics()
  const memberList = createMemberList()
  memberList.put(identity.vm, identity.dataCentre)
  world.api = createMemoryObjectApi({ clock })
  world.replica = createConfigReplica()
  const config = createConfigController({
    objectApi: world.api, replica: world.replica, peers: createPeerHub().linksOf(identity.vm), membership: memberList.viewOf(identity.vm), identity, clock, metrics, log: silentLog, watch: false
  })
  await config.start()
  world.operatorServer = Hapi.server()
  registerOperatorRoutes(world.operatorServer, {
    config,
    view: world.replica,
    authenticate: createOperatorAuthenticator({ view: world.replica, clock }),
    status: () => ({ ok: true }),
    dataCentreOfVm: vm => vm === identity.vm ? brandId<DataCentreId>('dc') : undefined,
    explain: { find: async () => undefined },
    clock,
    metrics,
    log: silentLog
  })
}

async function send ({ operatorServer }: OperatorWorld, { method, path, caller, ifMatch, body, address = '10.0.0.1' }: OperatorCall): Promise<OperatorWorld['answer']> {
  const headers: Record<string, string> = {}
  if (caller && caller !== 'nobody') headers.authorization = `Bearer ${caller}-key`
  if (ifMatch && ifMatch !== 'none') headers['if-match'] = ifMatch
  const payload = body === undefined || body === 'none' ? {} : { payload: body }
  return await operatorServer.inject({ method, url: `/operator/v1${path}`, headers, remoteAddress: address, ...payload })
}

Given('an operator API without operators', async function (this: OperatorWorld) {
  await startOperatorServer(this)
})

Given('an operator API with operator ana and Model\\/m', async function (this: OperatorWorld) {
  await startOperatorServer(this)
  const keys = [{ sha256: hashOf('ana-key') }, { sha256: hashOf('old-key'), expiresAtWallMs: NOW_WALL_MS }]
  const call = { method: 'PUT', path: '/objects/Operator/ana', body: JSON.stringify({ keys }), address: '127.0.0.1' }
  assert.equal((await send(this, call)).statusCode, 200)
  assert.equal((await send(this, { method: 'PUT', path: '/objects/Model/m', caller: 'ana', body: '{"tier":0}' })).statusCode, 200)
})

When(/^an operator sends (\S+) (\S+) as (\S+) with If-Match (\S+) and body (.+)$/, async function (this: OperatorWorld, method: string, path: string, caller: string, ifMatch: string, body: string) {
  this.answer = await send(this, { method, path, caller, ifMatch, body })
})

When(/^an operator at (\S+) without a key sends (\S+) (\S+)$/, async function (this: OperatorWorld, address: string, method: string, path: string) {
  const operator = { keys: [{ sha256: hashOf(path) }] }
  const changes = [{ kind: 'Operator', name: 'ana', spec: operator }, { kind: 'Model', name: 'm', spec: {} }]
  const body = JSON.stringify(path === '/changes' ? { changes } : path.includes('Operator') ? operator : {})
  this.answer = await send(this, { method, path, address, ...(method === 'GET' ? {} : { body }) })
})

function errorOf ({ answer }: OperatorWorld): Record<string, unknown> {
  return (JSON.parse(answer.payload) as { error: Record<string, unknown> }).error
}

Then(/^the operator answer is (\d+)$/, function (this: OperatorWorld, status: string) {
  assert.equal(this.answer.statusCode, Number(status), this.answer.payload)
})

Then(/^the operator answer is (\d+) with error (\w+)$/, function (this: OperatorWorld, status: string, type: string) {
  assert.equal(this.answer.statusCode, Number(status), this.answer.payload)
  assert.equal(errorOf(this).type, type)
  for (const field of ['message', 'hint', 'run']) assert.equal(typeof errorOf(this)[field], 'string', field)
})

Then('the operator error message contains {}', function (this: OperatorWorld, text: string) {
  assert.ok(String(errorOf(this).message).includes(text), this.answer.payload)
})

Then('the operator error has the run state {word}', function (this: OperatorWorld, run: string) {
  assert.equal(errorOf(this).run, run)
})

Then('operator ana sends these calls in order and receives the expected responses', async function (this: OperatorWorld, table: DataTable) {
  for (const row of table.hashes()) {
    const response = await send(this, { method: row.method!, path: row.path!, caller: 'ana', ifMatch: row['if-match']!, body: row.body! })
    assert.equal(response.statusCode, Number(row.status), `${row.method} ${row.path}: ${response.payload}`)
    assert.ok(response.payload.includes(row['response contains']!), `${row.method} ${row.path}: ${response.payload}`)
  }
})

Given('another client changed DataCentre\\/dc and the VM of the operator API has not received the change', async function (this: OperatorWorld) {
  await send(this, { method: 'PUT', path: '/objects/DataCentre/dc', caller: 'ana', body: '{"region":"one"}' })
  const { resourceVersion } = this.replica.entry('DataCentre', 'dc')!
  await this.api.update('DataCentre', 'dc', { region: 'two', state: 'in_service' }, resourceVersion)
})

Then('DataCentre\\/dc is out of service and keeps the change of the other client', function (this: OperatorWorld) {
  assert.deepEqual(this.replica.get('DataCentre', 'dc'), { region: 'two', state: 'out_of_service' })
})

Given('the object API of the operator API has {}', function (this: OperatorWorld, fault: string) {
  if (fault === 'an outage') this.api.state.down = true
  else this.api.failNextWrite('lost answer')
})
