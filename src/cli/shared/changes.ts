/** Applies configuration changes: shows the difference, stores the change, and waits until it is in force. */
import { callOperatorApi, type OperatorConnection } from './operator-client.ts'
import { CommandError } from './command-error.ts'
import { EXIT_CODES, type ExitCode } from './exit-codes.ts'
import { connectionOf, type ChangeOptions } from './options.ts'
import { printResult } from './table.ts'

export interface RequestedChange {
  kind: string
  name: string
  /** Null deletes the object. */
  spec: object | null
  resourceVersion?: number
}

export interface AcceptedObject { kind: string, name: string, resourceVersion: number }

interface FieldDifference { path: string, before?: unknown, after?: unknown }

export interface CheckAnswer {
  valid: boolean
  problems: { kind: string, name: string, path: string, message: string }[]
  differences: { kind: string, name: string, operation: string, fields: FieldDifference[] }[]
}

interface InForceAnswer { revision: number, in_force: string[], missing: string[] }

const POLL_MS = 1000

/** Checks the changes and prints what they would alter; throws CommandError with all problems when they are not valid. */
export async function checkChanges (connection: OperatorConnection, changes: RequestedChange[]): Promise<CheckAnswer> {
  const answer = await callOperatorApi<CheckAnswer>(connection, { method: 'POST', path: '/check', body: { changes } })
  if (answer.valid) return answer
  const lines = answer.problems.map(({ kind, name, path, message }) => `${kind}/${name}: ${path === '' ? '' : `${path}: `}${message}`)
  throw new CommandError(lines.join('\n'), EXIT_CODES.failed)
}

export async function applyChanges (options: ChangeOptions, changes: RequestedChange[]): Promise<ExitCode> {
  const connection = connectionOf(options)
  const { differences } = await checkChanges(connection, changes)
  if (!options.json) process.stdout.write(formatDifferences(differences) + '\n')
  const { accepted } = await callOperatorApi<{ accepted: AcceptedObject[] }>(connection, { method: 'POST', path: '/changes', body: { changes } })
  return await reportAccepted(options, accepted)
}

/** Prints the revisions and, with `--wait`, waits until all VMs have them in force. */
export async function reportAccepted (options: ChangeOptions, accepted: AcceptedObject[]): Promise<ExitCode> {
  const lines = accepted.map(({ kind, name, resourceVersion }) => `${kind}/${name} is at revision ${resourceVersion}`)
  const revision = Math.max(0, ...accepted.map(({ resourceVersion }) => resourceVersion))
  if (!options.wait) {
    printResult(options.json, { accepted }, lines.join('\n'))
    return EXIT_CODES.ok
  }
  if (!options.json) process.stdout.write(lines.join('\n') + '\n')
  return await waitInForce(options, accepted, revision)
}

async function waitInForce (options: ChangeOptions, accepted: AcceptedObject[], revision: number): Promise<ExitCode> {
  const deadline = Date.now() + options['wait-timeout-ms']
  for (;;) {
    const leftMs = Math.max(0, deadline - Date.now())
    const path = `/in-force?revision=${revision}&timeout_ms=${Math.min(POLL_MS, leftMs)}`
    const answer = await callOperatorApi<InForceAnswer>(connectionOf(options), { method: 'GET', path })
    const total = answer.in_force.length + answer.missing.length
    if (!options.json) process.stdout.write(`in force on ${answer.in_force.length} of ${total} VMs\n`)
    const isDone = answer.missing.length === 0
    if (!isDone && Date.now() < deadline) continue
    if (options.json) printResult(true, { accepted, ...answer }, '')
    if (isDone) return EXIT_CODES.ok
    process.stderr.write(`not confirmed by: ${answer.missing.join(', ')}\n`)
    return EXIT_CODES.notInForce
  }
}

export function formatDifferences (differences: CheckAnswer['differences']): string {
  return differences.flatMap(({ kind, name, operation, fields }) => [
    `${operation === 'none' ? 'unchanged' : operation} ${kind}/${name}`,
    ...fields.map(({ path, before, after }) => `  ${path}: ${show(before)} -> ${show(after)}`)
  ]).join('\n')
}

function show (value: unknown): string {
  return value === undefined || value === null ? '(nothing)' : JSON.stringify(value)
}
