import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { parseLogLines, traceRequest, type LogLine, type LogTrace } from '../../src/core/explain/log-trace.ts'

interface ExplainLogWorld { lines: LogLine[], trace: LogTrace }

const timestamp = (second: number) => `2026-01-01T00:00:${String(second).padStart(2, '0')}.000Z`
const logLine = (second: number, vm: string, message: string, fields: object = {}) => JSON.stringify({ time: timestamp(second), level: 'INFO', vm, message, ...fields })

Given('log lines of two VMs about several requests', function (this: ExplainLogWorld) {
  this.lines = parseLogLines([
    logLine(1, 'vm-1', 'the store does not answer', { kind: 'config' }),
    `   3.2 vm-1 ${logLine(2, 'vm-1', 'backend server cannot be reached', { backendServer: 'b-1' })}`,
    logLine(2, 'vm-1', 'backend server cannot be reached', { backendServer: 'b-9' }),
    'Warning: {not json',
    logLine(3, 'vm-1', 'attempt_repeated', { id: 'r-1', backendServer: 'b-1' }),
    logLine(3, 'vm-2', 'the store does not answer', { kind: 'config' }),
    logLine(4, 'vm-1', 'failed', { id: 'r-1' })
  ].join('\n'))
})

When(/^request (\S+) is traced$/, function (this: ExplainLogWorld, id: string) { this.trace = traceRequest(this.lines, id) })

Then(/^its lines are (.*)$/, function (this: ExplainLogWorld, messages: string) {
  assert.deepEqual(this.trace.request.map(({ message }) => message), messages.split(', '))
})

Then('the preceding state changes are {string}, {string}', function (this: ExplainLogWorld, first: string, second: string) {
  assert.deepEqual(this.trace.beliefs.map(({ message }) => message), [first, second])
})

Then(/^(\d+) lines are read$/, function (this: ExplainLogWorld, count: string) { assert.equal(this.lines.length, Number(count)) })
