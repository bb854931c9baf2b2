import assert from 'node:assert/strict'
import { fork, type ChildProcess } from 'node:child_process'
import { After, Given, Then, When } from '@cucumber/cucumber'
import type { VmId } from '../../src/core/ids/index.ts'
import type { Member } from '../../src/core/membership/index.ts'
import { runMember, type RunningMember } from '../processes/member.ts'
import { until } from './membership-network.ts'

const CHILD = 'vm-child' as VmId

interface ProcessWorld {
  localMembers: RunningMember[]
  child?: ChildProcess
  childChanges: Member[]
}

function childStates ({ localMembers }: ProcessWorld): (string | undefined)[] {
  return localMembers.map(({ membership }) => membership.get(CHILD)?.state)
}

After({ tags: '@membership-process' }, async function (this: Partial<ProcessWorld>) {
  this.child?.kill('SIGKILL')
  for (const { membership, links } of this.localMembers ?? []) {
    await membership.stop()
    await links.close()
  }
})

Given('a separate member process beside {int} members in the test process', { timeout: 60_000 }, async function (this: ProcessWorld, size: number) {
  this.localMembers = []
  this.childChanges = []
  for (let i = 0; i < size; i++) this.localMembers.push(await runMember(`vm-${i}`, this.localMembers.map(({ seed }) => seed)))
  const args = [CHILD, JSON.stringify(this.localMembers.map(({ seed }) => seed))]
  this.child = fork('features/processes/member.ts', args, { execArgv: ['--import', 'tsx'] })
  this.child.on('message', change => { this.childChanges.push(change as Member) })
  await until(() => childStates(this).every(state => state === 'live') && this.childChanges.length >= size)
})

When('the member process is stopped by a signal until all members of the test process declare it {word}', { timeout: 60_000 }, async function (this: ProcessWorld, state: string) {
  this.child!.kill('SIGSTOP')
  await until(() => childStates(this).every(observed => observed === state))
})

When('the member process continues', function (this: ProcessWorld) {
  this.child!.kill('SIGCONT')
})

Then('all members of the test process see the member process live again', { timeout: 60_000 }, async function (this: ProcessWorld) {
  await until(() => childStates(this).every(observed => observed === 'live'))
})

Then('the member process declared no member dead', function (this: ProcessWorld) {
  assert.deepEqual(this.childChanges.filter(({ vm, state }) => vm !== CHILD && state === 'dead'), [])
})
