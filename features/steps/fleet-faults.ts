import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import {
  answerText, billedRecords, callControl, engineStats, isComplete, callOperator, sendChat, sendDispatch, countRuns, waitUntilInForce, type FleetAnswer
} from '../support/fleet-calls.ts'
import { waitUntil, type Fleet, type FleetVm } from '../support/fleet.ts'
import { generateTokens } from '../../src/standin/engine/index.ts'
import { useFleet, type FleetWorld } from './fleet.ts'

interface FaultWorld extends FleetWorld {
  fleet: Fleet
  prompts: string[]
  exitCode?: number | null
  statuses: number[]
  versionOfSession: Map<string, string>
}

const DISPATCH_WORK_MS = 800
const OUTAGE_MS = 6000
const LONG_STREAM_TOKENS = 200
const SHORT_STREAM_TOKENS = 24
const CRASH_TEXT = 'reproduce [crash]'

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms))
const objectApi = (fleet: Fleet) => ({ address: new URL(fleet.objectApi.url).host })
const setOutage = (fleet: Fleet, isDown: boolean) => callControl(objectApi(fleet), 'outage', { mode: isDown })

/** Sends the dispatch to the first VM, injects the fault before or during the run, and resends the dispatch to the others. */
async function dispatchUnderFault (fleet: Fleet, key: string, fault: string): Promise<FleetAnswer[]> {
  const [first, second, third] = fleet.vms as [FleetVm, FleetVm, FleetVm]
  const application = fleet.applications[0]!
  if (fault === 'the application loses its answer') await callControl(application, 'faults', { loseAnswer: 1 })
  else if (fault === 'the application crashes before the run') await callControl(application, 'faults', { crashBefore: 1 })
  else if (fault === 'the application crashes after the run') await callControl(application, 'faults', { crashAfter: 1 })
  else if (fault === 'the object API loses an answer') await callControl(objectApi(fleet), 'drop-answers', { count: 1, filter: { method: 'POST', kind: 'Claim' } })
  else if (fault === 'the object API is down') await setOutage(fleet, true)
  else if (fault.startsWith('the serving VM')) await callControl(application, 'faults', { slowMs: DISPATCH_WORK_MS })

  const running = sendDispatch(first, key)
  if (fault === 'all VMs receive it at once') return await Promise.all([running, sendDispatch(second, key), sendDispatch(third, key)])
  await sleep(DISPATCH_WORK_MS / 2)
  if (fault === 'the serving VM is killed') await first.process.kill()
  if (fault === 'the serving VM is paused') first.process.pause()
  const resent = [await sendDispatch(second, key), await sendDispatch(third, key)]
  if (fault === 'the object API is down') await setOutage(fleet, false)
  if (fault === 'the serving VM is paused') first.process.resume()
  return [await running, ...resent, await sendDispatch(third, key)]
}

When(/^the fleet dispatch "([^"]*)" is sent while (.*)$/, async function (this: FaultWorld, key: string, fault: string) {
  this.answers = await dispatchUnderFault(this.fleet, key, fault)
})

Then('the fleet dispatch {string} ran at most once and its answers match the number of runs', async function (this: FaultWorld, key: string) {
  const runCount = await countRuns(this.fleet, key)
  const summary = this.answers.map(({ status, errorType, run }) => `${status} ${errorType ?? ''} ${run ?? ''}`).join('; ')
  assert.ok(runCount <= 1, `${runCount} runs; ${summary}`)
  if (this.answers.some(({ status }) => status === 201)) assert.equal(runCount, 1, summary)
  if (this.answers.every(({ run }) => run === 'not_run')) assert.equal(runCount, 0, summary)
  assert.ok(this.answers.some(({ status }) => status !== 0), summary)
})

Given('fleet engine {int} has the fault {word}', async function (this: FaultWorld, number: number, fault: string) {
  await callControl(this.fleet.engines[number - 1]!, 'faults', { [fault]: 2 })
})

/** Stand-in engines read the length of the answer from `[tokens=N]` in the prompt. */
function streamPrompt (index: number, tokens: number): string {
  return `stream ${index} of the fleet [tokens=${tokens}]`
}

async function runStreams (fleet: Fleet, count: number, tokens: number): Promise<{ prompts: string[], answers: FleetAnswer[] }> {
  const prompts = Array.from({ length: count }, (_, index) => streamPrompt(index, tokens))
  const answers = await Promise.all(prompts.map((prompt, index) =>
    sendChat(fleet.vms[index % fleet.vms.length]!, { prompt, stream: true, maxTokens: tokens })))
  return { prompts, answers }
}

When('{int} fleet streams run at once', async function (this: FaultWorld, count: number) {
  Object.assign(this, await runStreams(this.fleet, count, SHORT_STREAM_TOKENS))
})

Then('every fleet stream is complete and answers its own prompt', function (this: FaultWorld) {
  assert.ok(this.answers.length > 0)
  this.answers.forEach((answer, index) => {
    assert.ok(isComplete(answer), `${answer.vm} ${answer.status} ${answer.body.slice(-300)}`)
    const prompt = this.prompts[index]!
    const tokens = Number(/tokens=(\d+)/.exec(prompt)![1])
    assert.equal(answerText(answer), generateTokens(answer.version, prompt, tokens).join(''))
  })
})

async function setVersion (vm: FleetVm, name: string, change: object): Promise<void> {
  const { body } = await callOperator(vm, 'GET', `/objects/Version/${name}`)
  const { status } = await callOperator(vm, 'PUT', `/objects/Version/${name}`, { ...body['spec'] as object, ...change }, { 'if-match': String(body['resourceVersion']) })
  assert.equal(status, 200)
}

When('the fleet withdraws {string} after {string} has weight 1', async function (this: FaultWorld, old: string, next: string) {
  const vm = this.fleet.vms[0]!
  await setVersion(vm, next, { weight: 1 })
  const { status } = await callOperator(vm, 'POST', `/versions/${old}/withdraw`)
  assert.equal(status, 200)
  await waitUntilInForce(vm)
})

Then('no fleet VM answers {string} with {string}', async function (this: FaultWorld, model: string, version: string) {
  const refusals = new Set<string>()
  const sendRound = async () => {
    const answers = await Promise.all(this.fleet.vms.flatMap(vm => Array.from({ length: 4 }, () => sendChat(vm, { model }))))
    for (const answer of answers) {
      assert.notEqual(answer.version, version, answer.vm)
      if (answer.status !== 200) refusals.add(`${answer.vm} ${answer.errorType}`)
    }
    return answers.some(({ status }) => status === 200)
  }
  // Requests are refused as not run after the leaders' leases end and before local admission starts.
  await waitUntil(sendRound, `an answer arrives; refusals: ${[...refusals].join(', ')}`)
  await sendRound()
})

When('the fleet object API goes down and VM 3 is killed and started again', async function (this: FaultWorld) {
  await setOutage(this.fleet, true)
  const { id, process } = this.fleet.vms[2]!
  await process.kill()
  const vm = await this.fleet.startVm(id)
  await waitUntil(async () => (await sendChat(vm)).errorType !== 'vm_not_ready', 'the restarted VM has loaded a configuration')
})

async function countReceivedIn (fleet: Fleet, dataCentre: string): Promise<number> {
  const engines = fleet.engines.filter(engine => engine.dataCentre === dataCentre)
  const stats = await Promise.all(engines.map(engineStats))
  return stats.reduce((sum, { received }) => sum + received.length, 0)
}

When('fleet streams are running and the data centre {string} is drained', async function (this: FaultWorld, name: string) {
  const running = runStreams(this.fleet, 6, LONG_STREAM_TOKENS)
  await sleep(150)
  const vm = this.fleet.vms[1]!
  const { status } = await callOperator(vm, 'POST', '/drain', { kind: 'DataCentre', name })
  assert.equal(status, 200)
  await waitUntilInForce(vm)
  Object.assign(this, await running)
})

Then('new fleet requests reach only engines outside {string}', async function (this: FaultWorld, name: string) {
  const before = await countReceivedIn(this.fleet, name)
  const vms = this.fleet.vms.filter(vm => vm.dataCentre !== name)
  const answers = await Promise.all(Array.from({ length: 12 }, (_, index) => sendChat(vms[index % vms.length]!)))
  for (const answer of answers) assert.equal(answer.status, 200, answer.body)
  const refused = await sendChat(this.fleet.vms.find(vm => vm.dataCentre === name)!)
  assert.equal(refused.run, 'not_run')
  assert.equal(await countReceivedIn(this.fleet, name), before)
})

When('the fleet data centre {string} is restored', async function (this: FaultWorld, name: string) {
  await callOperator(this.fleet.vms[1]!, 'POST', '/restore', { kind: 'DataCentre', name })
  await waitUntilInForce(this.fleet.vms[1]!)
})

Then('fleet requests reach engines in {string} again', async function (this: FaultWorld, name: string) {
  const before = await countReceivedIn(this.fleet, name)
  const vm = this.fleet.vms.find(({ dataCentre }) => dataCentre === name)!
  await waitUntil(async () => {
    await sendChat(vm)
    return await countReceivedIn(this.fleet, name) > before
  }, `engines in ${name} receive requests`)
})

When('fleet VM 1 receives SIGTERM while its streams run', async function (this: FaultWorld) {
  const [vm] = this.fleet.vms as [FleetVm]
  const prompts = Array.from({ length: 4 }, (_, index) => streamPrompt(index, LONG_STREAM_TOKENS))
  const running = Promise.all(prompts.map(prompt => sendChat(vm, { prompt, stream: true, maxTokens: LONG_STREAM_TOKENS })))
  await sleep(150)
  const exit = vm.process.terminate()
  await sleep(100)
  const refused = await sendChat(vm)
  assert.equal(refused.run, 'not_run', JSON.stringify(refused))
  assert.ok(refused.body.includes('entry_points'))
  this.prompts = prompts
  this.answers = await running
  this.exitCode = await exit
})

Then('the stopped fleet VM exited with code 0', function (this: FaultWorld) {
  assert.equal(this.exitCode, 0)
})

When(/^the fleet has the fault: (.*)$/, async function (this: FaultWorld, fault: string) {
  const { body } = await callOperator(this.fleet.vms[0]!, 'GET', '/status')
  const leader = (body['data_centres'] as { leader: string }[])[0]!.leader
  const vm = this.fleet.vms.find(({ id }) => id === leader)!
  if (fault === 'a leader is killed') {
    await vm.process.kill()
    this.fleet.vms = this.fleet.vms.filter(other => other !== vm)
  } else if (fault === 'a leader is paused') {
    vm.process.pause()
    await sleep(OUTAGE_MS)
    vm.process.resume()
  } else if (fault === 'VM 2 is cut off from the object API') {
    this.fleet.vms[1]!.objectApiProxy.set({ cut: 'both' })
    await sleep(OUTAGE_MS)
  } else {
    await setOutage(this.fleet, true)
    await sleep(OUTAGE_MS)
    this.answers.push(...await Promise.all(this.fleet.vms.map(each => sendChat(each))))
    assert.ok(this.answers.some(({ status }) => status === 200), 'no VM answered during the outage')
    await setOutage(this.fleet, false)
  }
})

When('the fleet VMs reach the object API again', function (this: FaultWorld) {
  for (const { objectApiProxy } of this.fleet.vms) objectApiProxy.clear()
})

Then('every live fleet VM answers chat requests again', async function (this: FaultWorld) {
  for (const vm of this.fleet.vms) {
    await waitUntil(async () => {
      const answer = await sendChat(vm)
      this.answers.push(answer)
      return isComplete(answer)
    }, `${vm.id} answers`)
  }
})

When('the fleet request that crashes engines is sent 4 times to each VM', async function (this: FaultWorld) {
  for (let round = 0; round < 4; round++) {
    for (const vm of this.fleet.vms) this.answers.push(await sendChat(vm, { prompt: CRASH_TEXT }))
  }
})

Then('at most {int} fleet engines crashed', async function (this: FaultWorld, limit: number) {
  const stats = await Promise.all(this.fleet.engines.map(engineStats))
  const crashes = stats.reduce((sum, each) => sum + each.crashes, 0)
  assert.ok(crashes > 0, 'the request crashed no engine')
  assert.ok(crashes <= limit, `${crashes} crashes`)
  assert.equal(this.answers.at(-1)!.errorType, 'request_quarantined')
  this.answers = []
})

Given('a fleet of {int} VMs whose {int} engines start cold with an allowance of {int}', async function (this: FaultWorld, vms: number, engines: number, coldAllowance: number) {
  await useFleet(this, { vms, engines, engineOptions: { startCold: true, coldMs: 1500, coldRequests: 4, coldAllowance } })
})

async function sendBurst (fleet: Fleet, count: number): Promise<FleetAnswer[]> {
  return await Promise.all(Array.from({ length: count }, (_, index) => sendChat(fleet.vms[index % fleet.vms.length]!, { prompt: `burst ${index}` })))
}

When('{int} fleet chat requests arrive at once', async function (this: FaultWorld, count: number) {
  this.answers = await sendBurst(this.fleet, count)
})

When('fleet engine 1 restarts cold and {int} chat requests follow', async function (this: FaultWorld, count: number) {
  // The engine closes all its connections, including the one of this call.
  await callControl(this.fleet.engines[0]!, 'fall-over').catch(() => {})
  this.answers = await sendBurst(this.fleet, count)
})

Then('no fleet engine was overloaded', async function (this: FaultWorld) {
  const answered = this.answers.filter(({ status }) => status === 200)
  assert.ok(answered.length > 0, this.answers.map(({ status, errorType }) => `${status} ${errorType ?? ''}`).join('; '))
  for (const engine of this.fleet.engines) assert.equal((await engineStats(engine)).overloads, 0, engine.id)
})

When('two operators change one fleet contract at once on different VMs', async function (this: FaultWorld) {
  const path = '/objects/Contract/field-agents'
  const { body } = await callOperator(this.fleet.vms[0]!, 'GET', path)
  const change = (vm: FleetVm, maxConcurrent: number) =>
    callOperator(vm, 'PUT', path, { ...body['spec'] as object, maxConcurrent }, { 'if-match': String(body['resourceVersion']) })
  const results = await Promise.all(this.fleet.vms.map((vm, index) => change(vm, 11 + index)))
  this.statuses = results.map(({ status }) => status)
})

Then('one fleet change is accepted and the other fails with a conflict', function (this: FaultWorld) {
  assert.deepEqual([...this.statuses].sort(), [200, 409])
})

Then('every fleet VM has the accepted contract', async function (this: FaultWorld) {
  const acceptedIndex = this.statuses.indexOf(200)
  await waitUntilInForce(this.fleet.vms[acceptedIndex]!)
  for (const vm of this.fleet.vms) {
    const { body } = await callOperator(vm, 'GET', '/objects/Contract/field-agents')
    assert.equal((body['spec'] as { maxConcurrent: number }).maxConcurrent, 11 + acceptedIndex)
  }
})

When('{int} fleet sessions start and then {string} gets weight 1 and {string} weight 0.1', async function (this: FaultWorld, count: number, next: string, old: string) {
  this.versionOfSession = new Map()
  const vm = this.fleet.vms[0]!
  for (let index = 0; index < count; index++) {
    const session = `session-${index}`
    const answer = await sendChat(this.fleet.vms[index % 3]!, { headers: { 'x-session-id': session } })
    assert.equal(answer.status, 200, answer.body)
    this.versionOfSession.set(session, answer.version)
  }
  await setVersion(vm, next, { weight: 1 })
  await setVersion(vm, old, { weight: 0.1 })
  await waitUntilInForce(vm)
})

Then('each fleet session keeps its version on every VM', async function (this: FaultWorld) {
  for (const [session, version] of this.versionOfSession) {
    for (const vm of this.fleet.vms) {
      const answer = await sendChat(vm, { headers: { 'x-session-id': session } })
      assert.equal(answer.version, version, `${session} on ${vm.id}: ${answer.body}`)
    }
  }
})

When(/^fleet answers are delivered while (.*)$/, async function (this: FaultWorld, fault: string) {
  if (fault === 'the object API loses answers') await callControl(objectApi(this.fleet), 'drop-answers', { count: 2, filter: { method: 'POST', kind: 'BillingBatch' } })
  if (fault === 'the object API is down for a time') await setOutage(this.fleet, true)
  const vm = this.fleet.vms[0]!
  this.answers = await Promise.all(Array.from({ length: 10 }, (_, index) => sendChat(vm, { prompt: `bill ${index}` })))
  for (const answer of this.answers) assert.equal(answer.status, 200, answer.body)
  if (fault === 'VM 1 is killed after the answers') {
    await vm.process.kill()
    this.fleet.vms = this.fleet.vms.slice(1)
  }
  if (fault === 'the object API is down for a time') {
    await sleep(1500)
    assert.equal(await setOutage(this.fleet, false).then(() => true), true)
  }
  const { duplicates } = await billedRecords(this.fleet)
  assert.equal(duplicates, 0)
})

/** Whether the VM knows that every engine is warm. Before that, a data centre shows no free slots and may get no streams. */
async function knowsWarmEngines (vm: FleetVm, engines: number): Promise<boolean> {
  const { body } = await callOperator(vm, 'GET', '/status')
  return (body['versions'] as { warm: number }[]).every(({ warm }) => warm === engines)
}

When('fleet streams are running and engine 1 is drained', async function (this: FaultWorld) {
  const { vms, engines } = this.fleet
  await waitUntil(async () => (await Promise.all(vms.map(vm => knowsWarmEngines(vm, engines.length)))).every(Boolean), 'every VM knows that all engines are warm')
  const running = runStreams(this.fleet, 9, LONG_STREAM_TOKENS)
  await waitUntil(async () => (await engineStats(engines[0]!)).inFlight > 0, 'engine 1 runs a stream')
  const vm = this.fleet.vms[1]!
  const { status } = await callOperator(vm, 'POST', '/drain', { kind: 'BackendServer', name: 'engine-1' })
  assert.equal(status, 200)
  await waitUntilInForce(vm)
  Object.assign(this, await running)
})

Then('fleet engine 1 receives no more work', async function (this: FaultWorld) {
  const before = (await engineStats(this.fleet.engines[0]!)).received.length
  assert.ok(before > 0, 'the engine received no work before it was drained')
  const answers = await sendBurst(this.fleet, 18)
  for (const answer of answers) assert.equal(answer.status, 200, answer.body)
  assert.equal((await engineStats(this.fleet.engines[0]!)).received.length, before)
})

When('fleet VM 1 is killed during a stream with an idempotency key and the caller resends to VM 2', async function (this: FaultWorld) {
  const [first, second] = this.fleet.vms as [FleetVm, FleetVm]
  const prompt = streamPrompt(0, LONG_STREAM_TOKENS)
  const request = { prompt, stream: true, maxTokens: LONG_STREAM_TOKENS, headers: { 'idempotency-key': 'tender-1' } }
  const interrupted = sendChat(first, request)
  await sleep(150)
  await first.process.kill()
  this.fleet.vms = this.fleet.vms.slice(1)
  assert.equal(isComplete(await interrupted), false)
  this.prompts = [prompt]
  await waitUntil(async () => {
    this.answers = [await sendChat(second, request)]
    return isComplete(this.answers[0]!)
  }, 'the resent request is answered')
})

Then('the fleet has one billing record for the resent request', async function (this: FaultWorld) {
  await waitUntil(async () => (await billedRecords(this.fleet)).records.length > 0, 'the billing record is in the object API')
  const { records, duplicates } = await billedRecords(this.fleet)
  assert.deepEqual([records.length, duplicates], [1, 0])
})
